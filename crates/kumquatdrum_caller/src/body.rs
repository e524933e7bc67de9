//! Reading a caller's body within its bounds.

use std::io;

use bytes::{Bytes, BytesMut};
use kumquatdrum_types::Refusal;
use rocket::data::{Data, ToByteUnit};
use tokio::io::AsyncReadExt;

use crate::gate::{Pass, Problem};

const PIECE: usize = 64 * 1024;

/// Reads the whole body. Bytes are taken from the daemon's budget before they are read.
pub async fn read(pass: &mut Pass, data: Data<'_>, length: Option<u64>) -> Result<Bytes, Problem> {
    let refuse = |pass: &Pass, refusal| Problem::refused(refusal, None, Some(pass.request.clone()));
    if length.is_some_and(|length| length > pass.body_limit) {
        return Err(refuse(pass, Refusal::BodyTooLarge));
    }
    let announced = length.unwrap_or(0);
    if !pass.hold.grow(announced, pass.workspace_limit) {
        return Err(refuse(pass, Refusal::MemoryFull));
    }
    let mut body = BytesMut::with_capacity(announced as usize);
    let mut held = announced;
    let mut stream = data.open((pass.body_limit + 1).bytes());
    loop {
        body.reserve(PIECE.min(1 + (held as usize).saturating_sub(body.len())));
        match stream.read_buf(&mut body).await {
            Ok(0) => return whole(pass, body, length),
            Ok(_) => {}
            Err(error) => return Err(cut(pass, &error)),
        }
        if body.len() as u64 > pass.body_limit {
            return Err(refuse(pass, Refusal::BodyTooLarge));
        }
        let beyond = (body.len() as u64).saturating_sub(held);
        if !pass.hold.grow(beyond, pass.workspace_limit) {
            return Err(refuse(pass, Refusal::MemoryFull));
        }
        held += beyond;
    }
}

fn whole(pass: &Pass, body: BytesMut, length: Option<u64>) -> Result<Bytes, Problem> {
    match length {
        Some(length) if length != body.len() as u64 => {
            Err(cut(pass, &io::Error::from(io::ErrorKind::UnexpectedEof)))
        }
        _ => Ok(body.freeze()),
    }
}

fn cut(pass: &Pass, error: &io::Error) -> Problem {
    Problem::refused(Refusal::BadRequest, None, Some(pass.request.clone()))
        .with_message(format!("the body could not be read: {error}"))
}
