//! The stream of an answer, and its cut by order.

use std::io::{self, Cursor};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, Stream};
use tokio::io::{AsyncRead, ReadBuf};

use super::shared::{Source, Status};
use super::wire;
use crate::fault::Cut;
use crate::model::State;

/// A comment is sent after this much silence, so that a caller's leaving is noticed.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// A part of an answer's body.
pub(super) enum Part {
    /// Bytes of events.
    Events(Cursor<Bytes>),
    /// The connection is broken off here.
    Break,
}

impl AsyncRead for Part {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut *self {
            Self::Events(events) => Pin::new(events).poll_read(context, buffer),
            Self::Break => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

/// An answer under way.
struct Answer {
    source: Source,
    sent: u32,
    cut: Option<Cut>,
    over: bool,
}

/// The events of a source from a token on.
pub(super) fn stream(
    source: Source,
    from: u32,
    cut: Option<Cut>,
) -> impl Stream<Item = Part> + Send {
    let answer = Answer {
        source,
        sent: from,
        cut,
        over: false,
    };
    stream::unfold(answer, |mut answer| async move {
        if answer.over {
            return None;
        }
        Some((answer.next().await, answer))
    })
}

impl Answer {
    async fn next(&mut self) -> Part {
        let sent = self.sent;
        let news = |status: &Status| status.tokens > sent || status.state.has_ended();
        let waited = tokio::time::timeout(KEEP_ALIVE, self.source.status.wait_for(news))
            .await
            .map(|status| status.map(|status| *status));
        let status = match waited {
            Ok(Ok(status)) => status,
            Ok(Err(_)) => return self.stop(Part::Break),
            Err(_) => return events(": keep-alive\n\n".into()),
        };
        let until = self.cut.map_or(u32::MAX, |cut| cut.after_tokens);
        let ended = status.state.has_ended() && self.sent >= status.tokens;
        match self.cut {
            Some(cut) if ended || cut.after_tokens <= self.sent => self.stop(broken(cut)),
            _ => self.render(status, until),
        }
    }

    fn stop(&mut self, part: Part) -> Part {
        self.over = true;
        part
    }

    fn render(&mut self, status: Status, until: u32) -> Part {
        let id = self.source.id.as_str();
        let last = status.tokens.min(until);
        let mut text: String = (self.sent..last)
            .map(|index| self.source.form.token(id, &self.source.digest, index))
            .collect();
        self.sent = last.max(self.sent);
        let ended = status.state.has_ended() && self.sent >= status.tokens;
        match status.state {
            _ if !ended || self.cut.is_some() => {}
            State::Finished => {
                let end = self
                    .source
                    .form
                    .end(id, self.source.prompt_tokens, status.tokens);
                text.push_str(&end);
                self.over = true;
            }
            state => {
                text.push_str(&wire::failure(id, state));
                self.over = true;
            }
        }
        events(text)
    }
}

fn events(text: String) -> Part {
    Part::Events(Cursor::new(Bytes::from(text)))
}

fn broken(cut: Cut) -> Part {
    if cut.broken {
        return Part::Break;
    }
    events(String::new())
}
