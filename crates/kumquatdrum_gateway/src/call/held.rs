//! Plain answers, which are held until they are complete, so that a broken one can be tried elsewhere.
//! A large one is passed on as it arrives.

use bytes::{Bytes, BytesMut};
use futures::{TryStreamExt, stream};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use kumquatdrum_registry::Announcement;
use kumquatdrum_response::Completeness;
use parking_lot::Mutex;
use tokio::time::{Instant, timeout_at};

use crate::body::{self, Body};
use crate::upstream::{Exchange, Upstream};

/// The maximum number of bytes of an answer that are held.
const MAX_HELD_BYTES: usize = 256 << 10;

/// The body of an answer.
#[derive(Debug)]
pub(super) enum Content {
    /// All of it.
    Whole(Bytes),
    /// What is held of it, and the rest as it arrives. The lock makes it shareable.
    Begun(Mutex<Body>),
}

/// What has been read of a body.
pub(super) struct Held {
    pub(super) bytes: Bytes,
    pub(super) is_complete: bool,
}

/// Reads a body to its end, or until no more of it is held.
pub(super) async fn hold(body: &mut Body) -> Result<Held, body::Error> {
    let mut bytes = BytesMut::new();
    while bytes.len() < MAX_HELD_BYTES {
        let Some(frame) = body.frame().await else {
            return Ok(Held {
                bytes: bytes.freeze(),
                is_complete: true,
            });
        };
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(Held {
        bytes: bytes.freeze(),
        is_complete: false,
    })
}

/// The rest of an answer that is too large to be held.
pub(super) struct Rest {
    pub(super) exchange: Exchange,
    pub(super) upstream: Upstream,
    pub(super) endpoint: Announcement,
    pub(super) deadline: Instant,
    /// Called if the answer turns out to be complete.
    pub(super) on_completion: Box<dyn FnOnce() + Send>,
}

impl Rest {
    /// Returns a body of what is held and the rest.
    pub(super) fn into_content(self, held: Bytes) -> Content {
        let state = Some((Some(held), self));
        let frames = stream::unfold(state, |state| async move {
            let (held, mut rest) = state?;
            if let Some(held) = held {
                return Some((Ok(held), Some((None, rest))));
            }
            match rest.next().await {
                Some(Ok(data)) => Some((Ok(data), Some((None, rest)))),
                Some(Err(error)) => Some((Err(error), None)),
                None => {
                    if rest.exchange.framing.completeness() == Completeness::Complete {
                        (rest.on_completion)();
                    }
                    None
                }
            }
        });
        let frames = frames.map_ok(Frame::data);
        Content::Begun(Mutex::new(StreamBody::new(frames).boxed_unsync()))
    }

    /// Returns the next bytes, and none of the trailers.
    async fn next(&mut self) -> Option<Result<Bytes, body::Error>> {
        loop {
            let frame = self.exchange.response.body_mut().frame();
            match timeout_at(self.deadline, frame).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Ok(Some(Err(error))) => {
                    self.upstream.record_broken(&self.exchange, &self.endpoint);
                    return Some(Err(error));
                }
                Ok(None) => return None,
                Err(_) => return Some(Err("the time is up".into())),
            }
        }
    }
}
