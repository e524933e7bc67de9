//! Events of a stream, with pauses.

use std::ops::RangeInclusive;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{chunk, wait_for_close};

/// Sends events after a pause before each, and a silence before the last, and the end of the stream.
pub async fn send(
    stream: &mut TcpStream,
    events: RangeInclusive<u64>,
    pause: Duration,
    silence: Duration,
) -> std::io::Result<()> {
    let last = *events.end();
    for event in events {
        let text = chunk(&format!("id: {event}\ndata: piece {event}\n\n"));
        let pause = if event == last {
            pause + silence
        } else {
            pause
        };
        tokio::select! {
            () = sleep(pause) => stream.write_all(text.as_bytes()).await?,
            closed = wait_for_close(stream) => return closed,
        }
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Sends events with a silence after one of them, and the end of the stream.
pub async fn send_paused(
    stream: &mut TcpStream,
    events: RangeInclusive<u64>,
    last: u64,
    silence: Duration,
) -> std::io::Result<()> {
    for event in events {
        let text = chunk(&format!("id: {event}\ndata: piece {event}\n\n"));
        stream.write_all(text.as_bytes()).await?;
        if event == last {
            pause(stream, silence).await?;
        }
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Waits, unless the connection is closed meanwhile.
pub async fn pause(stream: &TcpStream, duration: Duration) -> std::io::Result<()> {
    tokio::select! {
        () = sleep(duration) => Ok(()),
        closed = wait_for_close(stream) => closed,
    }
}
