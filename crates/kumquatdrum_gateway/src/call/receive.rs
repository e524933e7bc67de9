//! The arrival of a request's body.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::request;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use kumquatdrum_types::Moment;
use tokio::time::timeout_at;

use super::{Admission, DEFAULT_TIMEOUT};
use crate::Gateway;
use crate::backlog;
use crate::body_memory::{Budget, Reservation, UNCOUNTED_BYTES};
use crate::listener::Progress;
use crate::problem::Problem;
use crate::protocol::Metadata;

/// The maximum retry delay of a request whose body found no memory.
const MAX_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The body of an admitted request.
pub(super) struct Received {
    pub(super) admission: Admission,
    pub(super) body: Bytes,
    pub(super) memory: Reservation,
    pub(super) deadline: Moment,
}

/// Why a body was not collected.
enum Error {
    TooLarge,
    NoMemory,
    Broken(hyper::Error),
}

/// Receives the body of a request within its time and this host's memory.
pub(super) async fn receive(
    gateway: &Gateway,
    head: &request::Parts,
    body: &mut Incoming,
    metadata: &Metadata,
    admission: Admission,
    arrived: Moment,
) -> Result<Received, Problem> {
    let timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = timeout.min(admission.route.timeout);
    let deadline = arrived + timeout;
    let max_bytes = admission.max_body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Problem::TooLarge);
    }
    let progress = head.extensions.get::<Progress>();
    let collector = Collector {
        budget: &gateway.body_memory,
        max_bytes,
        wait_until: gateway.clock.instant(arrived + backlog::max_hold(timeout)),
    };
    let deadline_instant = gateway.clock.instant(deadline);
    let received = tokio::select! {
        biased;
        received = timeout_at(deadline_instant, collector.collect(body)) => {
            received.map_err(|_| "the body did not arrive in time")
        }
        () = gateway.shutdown.wait_for_end_of_waits() => Err("this host stops"),
    };
    let (body, memory) = match received {
        Ok(Ok(received)) => received,
        Ok(Err(Error::TooLarge)) => return Err(Problem::TooLarge),
        Ok(Err(Error::NoMemory)) => {
            let left = deadline - gateway.clock.now();
            return Err(Problem::Refused {
                reason: "no memory for its body",
                retry_after: backlog::retry_after(left, MAX_MEMORY_RETRY_AFTER),
            });
        }
        Ok(Err(Error::Broken(error))) => {
            if let Some(progress) = progress {
                progress.record_abandoned();
            }
            return Err(Problem::Unreadable(error.to_string()));
        }
        Err(reason) => {
            return Err(Problem::Refused {
                reason,
                retry_after: Duration::ZERO,
            });
        }
    };
    if let Some(progress) = progress {
        progress.record_body();
    }
    gateway.pool.record_request(&admission.service);
    Ok(Received {
        admission,
        body,
        memory,
        deadline,
    })
}

/// Collects a body in memory that is reserved for it.
struct Collector<'a> {
    budget: &'a Budget,
    max_bytes: usize,
    /// When the wait for memory is given up.
    wait_until: tokio::time::Instant,
}

impl Collector<'_> {
    async fn collect(&self, body: &mut Incoming) -> Result<(Bytes, Reservation), Error> {
        let length = body.size_hint().exact();
        let length = length.and_then(|length| usize::try_from(length).ok());
        let mut memory = match length {
            Some(length) if length > UNCOUNTED_BYTES => Some(self.reserve(length).await?),
            _ => None,
        };
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(Error::Broken)?.into_data() else {
                continue;
            };
            if collected.is_empty() && length == Some(data.len()) && memory.is_none() {
                return Ok((data, Reservation::default()));
            }
            if collected.is_empty() {
                // A buffer of the final size is never copied.
                collected.reserve(length.unwrap_or_default());
            }
            let size = collected.len() + data.len();
            if size > self.max_bytes {
                return Err(Error::TooLarge);
            }
            if size > UNCOUNTED_BYTES && memory.is_none() {
                memory = Some(self.reserve(self.max_bytes).await?);
                collected.reserve(self.max_bytes - collected.len());
            }
            collected.extend_from_slice(&data);
        }
        let mut memory = memory.unwrap_or_default();
        memory.shrink_to(collected.len());
        Ok((collected.freeze(), memory))
    }

    async fn reserve(&self, bytes: usize) -> Result<Reservation, Error> {
        let reserved = timeout_at(self.wait_until, self.budget.reserve(bytes)).await;
        reserved.map_err(|_| Error::NoMemory)
    }
}
