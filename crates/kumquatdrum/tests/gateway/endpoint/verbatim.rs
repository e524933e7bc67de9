//! Answers that are given byte for byte.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{End, RESET_DELAY, reset_on_close};

/// Sends an answer, in which `ATTEMPT` stands for the headers that every answer has, and `UNSTAMPED` for
/// all of them but the stamp.
pub async fn send(
    stream: &mut TcpStream,
    attempt: &str,
    answer: &str,
    end: End,
) -> std::io::Result<()> {
    let unstamped = format!("Kumquatdrum-Attempt-Id: {attempt}");
    let stamped = format!("{unstamped}\r\nKumquatdrum-Response-Stamp: stamp-{attempt}");
    let answer = answer.replace("ATTEMPT", &stamped);
    let answer = answer.replace("UNSTAMPED", &unstamped);
    stream.write_all(answer.as_bytes()).await?;
    if end == End::Reset {
        // What was sent before a reset would be lost with it.
        sleep(RESET_DELAY).await;
        reset_on_close(stream);
    }
    Ok(())
}
