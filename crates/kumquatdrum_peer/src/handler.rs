//! What the daemon does with the messages of its peers.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{Channel, Error, Identity};

/// The answer to a question, in the making.
pub type Answer<'a> = BoxFuture<'a, Result<Bytes, Error>>;

/// Takes the messages that arrive from peers. The sender has proved that it knows the cluster
/// secret.
pub trait Handler: Send + Sync {
    /// Takes a message that needs no answer. Must not block.
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes);

    /// Answers a question. Dropped unfinished where the asker goes away.
    fn answer(&self, from: &Identity, channel: Channel, body: Bytes) -> Answer<'_>;
}
