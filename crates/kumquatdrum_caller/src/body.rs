//! Reading a caller's body within its bounds.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use kumquatdrum_types::Refusal;
use rocket::data::{Data, DataStream, ToByteUnit};
use tokio::io::AsyncReadExt;

use crate::admission::{Caller, Problem};

const PIECE: usize = 64 * 1024;
/// Bytes of a refused body that are read and dropped.
const DISCARDED: u64 = 64 * 1024 * 1024;
/// How long a refused body may take to arrive.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the whole body. Bytes are taken from the daemon's budget before they are read. What is
/// left of a refused body is read and dropped, as a caller that still writes when the connection
/// closes never sees the answer.
pub async fn read(
    caller: &mut Caller,
    data: Data<'_>,
    length: Option<u64>,
) -> Result<Bytes, Problem> {
    let mut stream = data.open((caller.body_limit + 1).bytes());
    let body = collect(caller, &mut stream, length).await;
    if body.is_err() {
        drop_rest(&mut stream).await;
    }
    body
}

/// Reads and drops the body of a caller that is refused for other reasons.
pub async fn discard(data: Data<'_>) {
    drop_rest(&mut data.open(DISCARDED.bytes())).await;
}

async fn drop_rest(stream: &mut DataStream<'_>) {
    let mut sink = tokio::io::sink();
    let dropped = tokio::io::copy(stream, &mut sink);
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, dropped).await;
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
    let announced = length.unwrap_or(0);
    if !caller.hold.grow(announced, caller.workspace_limit) {
        return Err(refuse(caller, Refusal::MemoryFull));
    }
    let mut body = BytesMut::with_capacity(announced as usize);
    let mut held = announced;
    loop {
        body.reserve(PIECE.min(1 + (held as usize).saturating_sub(body.len())));
        match stream.read_buf(&mut body).await {
            Ok(0) => return whole(caller, body, length),
            Ok(_) => {}
            Err(error) => return Err(cut(caller, &error)),
        }
        if body.len() as u64 > caller.body_limit {
            return Err(refuse(caller, Refusal::BodyTooLarge));
        }
        let beyond = (body.len() as u64).saturating_sub(held);
        if !caller.hold.grow(beyond, caller.workspace_limit) {
            return Err(refuse(caller, Refusal::MemoryFull));
        }
        held += beyond;
    }
}

fn whole(caller: &Caller, body: BytesMut, length: Option<u64>) -> Result<Bytes, Problem> {
    match length {
        Some(length) if length != body.len() as u64 => {
            Err(cut(caller, &io::Error::from(io::ErrorKind::UnexpectedEof)))
        }
        _ => Ok(body.freeze()),
    }
}

fn cut(caller: &Caller, error: &io::Error) -> Problem {
    Problem::refused(Refusal::BadRequest, None, Some(caller.request.clone()))
        .with_message(format!("the body could not be read: {error}"))
}
