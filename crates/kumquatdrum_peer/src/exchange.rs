//! Response that arrives in parts.

use std::sync::Arc;

use bytes::Bytes;
use tonic::Streaming;

use crate::Error;
use crate::frame::Purpose;
use crate::generated::Frame;
use crate::link::Connection;
use crate::peer::Peer;

/// The parts of a peer's response to a request. Dropping it cancels the request at the peer.
#[derive(Debug)]
pub struct Exchange {
    peer: Arc<Peer>,
    connection: Connection,
    parts: Streaming<Frame>,
    /// The code of the request or of the last part, which the next part's code covers.
    code: Bytes,
}

impl Exchange {
    pub(crate) fn new(
        peer: Arc<Peer>,
        connection: Connection,
        parts: Streaming<Frame>,
        code: Bytes,
    ) -> Self {
        Self {
            peer,
            connection,
            parts,
            code,
        }
    }

    /// Waits for the next part. Returns `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let frame = match self.parts.message().await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(None),
            Err(status) => return Err(self.peer.handle_status(&self.connection, &status).await),
        };
        let code = frame.code.clone();
        let body = self.peer.accept(frame, Purpose::Part(&self.code))?;
        self.code = code;
        Ok(Some(body))
    }
}
