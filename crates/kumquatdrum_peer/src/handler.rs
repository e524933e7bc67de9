//! Handler for messages from peers.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::{Channel, Error, Identity};

/// A boxed future of the response to a request.
pub type ResponseFuture<'a> = BoxFuture<'a, Result<Bytes, Error>>;

/// Processes messages from peers that have been authenticated by the cluster secret.
pub trait Handler: Send + Sync {
    /// Processes a message that has no response. Must not block.
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes);

    /// Responds to a request. The future is dropped if the peer disconnects.
    fn answer(&self, from: &Identity, channel: Channel, body: Bytes) -> ResponseFuture<'_>;
}
