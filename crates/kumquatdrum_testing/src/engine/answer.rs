//! Streams the events of an answer, and cuts the stream if a fault requires it.

use std::io::Cursor;
use std::time::Duration;

use super::shared::{Source, Status};
use super::wire;
use crate::fault::Cut;
use crate::model::Stage;
use bytes::Bytes;
use futures::stream::{self, Stream};

/// Time without events after which a comment is sent, so that a closed connection is noticed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The bytes of one or more events.
pub(super) type Chunk = Cursor<Bytes>;

/// A stream in progress.
struct Answer<F> {
    source: Source,
    tokens_sent: u32,
    cut: Option<Cut>,
    reset_connection: F,
    is_finished: bool,
}

/// Streams the events of a source, starting at token `from`.
pub(super) fn stream(
    source: Source,
    from: u32,
    cut: Option<Cut>,
    reset_connection: impl Fn() + Send + Sync,
) -> impl Stream<Item = Chunk> + Send {
    let answer = Answer {
        source,
        tokens_sent: from,
        cut,
        reset_connection,
        is_finished: false,
    };
    stream::unfold(answer, |mut answer| async move {
        if answer.is_finished {
            return None;
        }
        Some((answer.next_chunk().await, answer))
    })
}

impl<F: Fn()> Answer<F> {
    async fn next_chunk(&mut self) -> Chunk {
        let sent = self.tokens_sent;
        let has_changed = |status: &Status| status.tokens > sent || status.state.has_ended();
        let result = tokio::time::timeout(
            KEEP_ALIVE_INTERVAL,
            self.source.status.wait_for(has_changed),
        )
        .await
        .map(|status| status.map(|status| *status));
        let status = match result {
            Ok(Ok(status)) => status,
            Ok(Err(_)) => return self.finish(),
            Err(_) => return events(": keep-alive\n\n".into()),
        };
        let limit = self.cut.map_or(u32::MAX, |cut| cut.after_tokens);
        let ended = status.state.has_ended() && self.tokens_sent >= status.tokens;
        match self.cut {
            Some(cut) if ended || cut.after_tokens <= self.tokens_sent => self.apply_cut(cut).await,
            _ => self.render(status, limit),
        }
    }

    fn finish(&mut self) -> Chunk {
        self.is_finished = true;
        events(String::new())
    }

    /// Ends the body without an end marker, or resets the connection and sends nothing more.
    async fn apply_cut(&mut self, cut: Cut) -> Chunk {
        if cut.broken {
            (self.reset_connection)();
            std::future::pending::<()>().await;
        }
        self.finish()
    }

    fn render(&mut self, status: Status, limit: u32) -> Chunk {
        let id = self.source.id.as_str();
        let last = status.tokens.min(limit);
        let mut text: String = (self.tokens_sent..last)
            .map(|index| self.source.api.token(id, &self.source.digest, index))
            .collect();
        self.tokens_sent = last.max(self.tokens_sent);
        let ended = status.state.has_ended() && self.tokens_sent >= status.tokens;
        match status.state {
            _ if !ended || self.cut.is_some() => {}
            Stage::Finished => {
                let end = self
                    .source
                    .api
                    .end(id, self.source.prompt_tokens, status.tokens);
                text.push_str(&end);
                self.is_finished = true;
            }
            state => {
                text.push_str(&wire::failure(id, state));
                self.is_finished = true;
            }
        }
        events(text)
    }
}

fn events(text: String) -> Chunk {
    Cursor::new(Bytes::from(text))
}
