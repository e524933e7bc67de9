//! The stream of an answer, and its cut by order.

use std::io::Cursor;
use std::time::Duration;

use super::shared::{Source, Status};
use super::wire;
use crate::fault::Cut;
use crate::model::Stage;
use bytes::Bytes;
use futures::stream::{self, Stream};

/// A comment is sent after this much silence, so that a caller's leaving is noticed.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// A part of an answer's body: the bytes of some events.
pub(super) type Part = Cursor<Bytes>;

/// An answer under way.
struct Answer<F> {
    source: Source,
    sent: u32,
    cut: Option<Cut>,
    break_off: F,
    over: bool,
}

/// The events of a source from a token on; `break_off` breaks the connection off.
pub(super) fn stream(
    source: Source,
    from: u32,
    cut: Option<Cut>,
    break_off: impl Fn() + Send + Sync,
) -> impl Stream<Item = Part> + Send {
    let answer = Answer {
        source,
        sent: from,
        cut,
        break_off,
        over: false,
    };
    stream::unfold(answer, |mut answer| async move {
        if answer.over {
            return None;
        }
        Some((answer.next().await, answer))
    })
}

impl<F: Fn()> Answer<F> {
    async fn next(&mut self) -> Part {
        let sent = self.sent;
        let news = |status: &Status| status.tokens > sent || status.state.has_ended();
        let waited = tokio::time::timeout(KEEP_ALIVE, self.source.status.wait_for(news))
            .await
            .map(|status| status.map(|status| *status));
        let status = match waited {
            Ok(Ok(status)) => status,
            Ok(Err(_)) => return self.stop(),
            Err(_) => return events(": keep-alive\n\n".into()),
        };
        let until = self.cut.map_or(u32::MAX, |cut| cut.after_tokens);
        let ended = status.state.has_ended() && self.sent >= status.tokens;
        match self.cut {
            Some(cut) if ended || cut.after_tokens <= self.sent => self.cut_off(cut).await,
            _ => self.render(status, until),
        }
    }

    fn stop(&mut self) -> Part {
        self.over = true;
        events(String::new())
    }

    /// Ends the body as if it were whole, or breaks off its connection and stays open.
    async fn cut_off(&mut self, cut: Cut) -> Part {
        if cut.broken {
            (self.break_off)();
            std::future::pending::<()>().await;
        }
        self.stop()
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
            Stage::Finished => {
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
    Cursor::new(Bytes::from(text))
}
