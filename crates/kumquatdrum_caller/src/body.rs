//! Reads request bodies within the memory limits.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use kumquatdrum_types::Refusal;
use rocket::data::{Data, DataStream, ToByteUnit};
use tokio::io::AsyncReadExt;

use crate::admission::{Caller, Problem};

/// Minimum spare capacity of the buffer before each read, in bytes.
const READ_BUFFER_SIZE: usize = 64 * 1024;
/// Maximum number of bytes read from a refused body.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum time spent reading a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the whole body, reserving its bytes in the daemon's body budget.
///
/// The rest of a refused body is read and discarded: a caller that is still writing when the
/// connection closes does not receive the response.
pub async fn read(
    caller: &mut Caller,
    data: Data<'_>,
    length: Option<u64>,
) -> Result<Bytes, Problem> {
    let mut stream = data.open((caller.body_limit + 1).bytes());
    let body = collect(caller, &mut stream, length).await;
    if body.is_err() {
        drain(&mut stream).await;
    }
    body
}

/// Reads and discards the body of a request that was refused before its body was read.
pub async fn discard(data: Data<'_>) {
    drain(&mut data.open(MAX_DISCARDED_BYTES.bytes())).await;
}

async fn drain(stream: &mut DataStream<'_>) {
    let mut sink = tokio::io::sink();
    let copy = tokio::io::copy(stream, &mut sink);
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, copy).await;
}

async fn collect(
    caller: &mut Caller,
    stream: &mut DataStream<'_>,
    length: Option<u64>,
) -> Result<Bytes, Problem> {
    let refuse =
        |caller: &Caller, refusal| Problem::refused(refusal, None, Some(caller.request.clone()));
    if length.is_some_and(|length| length > caller.body_limit) {
        return Err(refuse(caller, Refusal::BodyTooLarge));
    }
    let expected = length.unwrap_or(0);
    if !caller.allocation.grow(expected, caller.workspace_limit) {
        return Err(refuse(caller, Refusal::MemoryFull));
    }
    let mut body = BytesMut::with_capacity(expected as usize);
    let mut reserved = expected;
    loop {
        body.reserve(READ_BUFFER_SIZE.min(1 + (reserved as usize).saturating_sub(body.len())));
        match stream.read_buf(&mut body).await {
            Ok(0) => return check_length(caller, body, length),
            Ok(_) => {}
            Err(error) => return Err(read_problem(caller, &error)),
        }
        if body.len() as u64 > caller.body_limit {
            return Err(refuse(caller, Refusal::BodyTooLarge));
        }
        let excess = (body.len() as u64).saturating_sub(reserved);
        if !caller.allocation.grow(excess, caller.workspace_limit) {
            return Err(refuse(caller, Refusal::MemoryFull));
        }
        reserved += excess;
    }
}

/// Rejects a body whose size differs from its `content-length` header.
fn check_length(caller: &Caller, body: BytesMut, length: Option<u64>) -> Result<Bytes, Problem> {
    match length {
        Some(length) if length != body.len() as u64 => Err(read_problem(
            caller,
            &io::Error::from(io::ErrorKind::UnexpectedEof),
        )),
        _ => Ok(body.freeze()),
    }
}

fn read_problem(caller: &Caller, error: &io::Error) -> Problem {
    Problem::refused(Refusal::BadRequest, None, Some(caller.request.clone()))
        .with_message(format!("the body could not be read: {error}"))
}
