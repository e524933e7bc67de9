//! Resumption of a stream at another endpoint.

use slog::info;

use super::Call;
use super::attempt::Outcome;
use super::run::Attempts;
use super::source::Source;

/// The maximum number of endpoints that are tried to resume a stream. At most one of them is sent
/// the request.
const MAX_RESUME_ATTEMPTS: usize = 6;

/// Takes a retry, and returns whether the request may be sent once more.
pub(super) fn is_granted(call: &Call) -> bool {
    call.check_block().is_ok() && call.gateway.pool.take_retry(&call.service)
}

/// Asks another endpoint for the events after `last_event_id`. Once it is sent the request, that counts
/// in `attempts`, even if this is dropped.
pub(super) async fn open(
    call: &Call,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
) -> Result<Source, String> {
    attempts.only_endpoint = None;
    attempts.is_resumed = true;
    let sent = attempts.sent;
    for _ in 0..MAX_RESUME_ATTEMPTS {
        let picked = call.pick(attempts).await;
        let pick = picked.map_err(|problem| problem.to_string())?;
        let Some(reservations) = call.reserve(&pick, attempts).await else {
            continue;
        };
        if call.check_block().is_err() {
            break;
        }
        attempts.sent = sent + 1;
        let outcome = call.attempt(&pick, sent, last_event_id).await;
        let is_unsent = matches!(outcome, Outcome::Unsent | Outcome::Held | Outcome::CutOff);
        if is_unsent && attempts.only_endpoint.is_none() {
            attempts.sent = sent;
        }
        match outcome {
            Outcome::Stream(exchange) => {
                return Ok(Source::new(pick, reservations, *exchange, last_event_id));
            }
            Outcome::Unsent => attempts.exclude(pick.key),
            Outcome::Held => {}
            Outcome::HelperFailed(_, helper) => {
                // The attempt is counted for this endpoint, so no other one may get it.
                attempts.record_helper_failure(helper, pick.key, sent + 1);
                if !attempts.can_replan() || !call.gateway.pool.take_retry(&call.service) {
                    break;
                }
            }
            _ => {
                attempts.exclude(pick.key);
                break;
            }
        }
    }
    Err("the stream could not be resumed".to_owned())
}

impl Call {
    pub(super) fn log_resume(&self, reason: &str, last_event_id: Option<u64>) {
        info!(self.gateway.logger, "resume"; "event" => "resume", "request" => &self.attempt_id,
            "after" => last_event_id, "reason" => reason);
    }

    /// Logs what becomes of the response of a silent endpoint.
    pub(super) fn log_silence(&self, outcome: &str, reason: &str, last_event_id: Option<u64>) {
        info!(self.gateway.logger, "silence"; "event" => "silence", "request" => &self.attempt_id,
            "outcome" => outcome, "after" => last_event_id, "reason" => reason);
    }
}
