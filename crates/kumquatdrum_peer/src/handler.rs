//! Handler for messages from peers.

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{self, BoxStream, StreamExt};

use crate::{Channel, Error, Identity};

/// A boxed future of the response to a request.
pub type ResponseFuture<'a> = BoxFuture<'a, Result<Bytes, Error>>;

/// A boxed stream of the parts of a response.
pub type Parts = BoxStream<'static, Bytes>;

/// Processes messages from peers that have been authenticated by the cluster secret.
pub trait Handler: Send + Sync {
    /// Processes a message that has no response. Must not block.
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes);

    /// Responds to a request. The future is dropped if the peer disconnects.
    fn answer(&self, from: &Identity, channel: Channel, body: Bytes) -> ResponseFuture<'_>;

    /// Responds to a request in parts. The stream is dropped if the peer disconnects or cancels the
    /// request. A handler without such requests responds with no part.
    fn exchange(&self, _from: &Identity, _channel: Channel, _body: Bytes) -> Parts {
        stream::empty().boxed()
    }
}
