//! The exchange of evidence against requests that crash endpoints, through the coordinators.
//!
//! Each host asks one coordinator in rotation for what it lacks, and sends new evidence to all
//! coordinators at once.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::{Channel, Client, Identity};
use kumquatdrum_process::quarantine::Store;
use kumquatdrum_quarantine::Evidence;
use kumquatdrum_types::{Checkpoint, HostId};
use serde::{Deserialize, Serialize};
use slog::error;
use tokio::sync::watch;

use crate::members::Members;

/// The interval at which a host asks a coordinator.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// A message between hosts.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Sends the evidence that the receiver lacks, and requests what the sender lacks.
    Question {
        /// The sender's evidence.
        evidence: Evidence,
        /// The checkpoint of the receiver's evidence that the sender has.
        known: Checkpoint,
    },
    /// The response to a question.
    Answer {
        /// The checkpoint of the question's evidence, which the sender has merged.
        merged: Checkpoint,
        /// The sender's evidence.
        evidence: Evidence,
    },
}

/// Exchanges evidence with other hosts.
pub struct Exchanger {
    /// The name of this host.
    pub host: HostId,
    /// The evidence known to this host.
    pub store: Arc<Store>,
    /// The client for other hosts.
    pub client: Arc<Client>,
    /// The hosts known to this host.
    pub members: Arc<Members>,
    /// The logger of events.
    pub logger: slog::Logger,
}

impl Exchanger {
    /// Exchanges evidence until `stopped` turns true.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        let mut changed = self.store.subscribe();
        let mut rounds = tokio::time::interval(EXCHANGE_INTERVAL);
        let mut round = 0;
        loop {
            tokio::select! {
                _ = rounds.tick() => {
                    round += 1;
                    self.store.expire();
                    self.ask_coordinators(Some(round));
                }
                Ok(()) = changed.changed() => self.ask_coordinators(None),
                _ = stopped.wait_for(|stopped| *stopped) => return,
            }
        }
    }

    /// Handles a message of another host.
    pub fn handle_message(&self, from: &Identity, body: &[u8]) -> Result<(), postcard::Error> {
        match postcard::from_bytes(body)? {
            Message::Question { evidence, known } => {
                self.store.merge(evidence.suspects, from.host.as_str());
                let answer = Message::Answer {
                    merged: evidence.checkpoint,
                    evidence: self.store.answer(known),
                };
                self.send(&from.host, &answer);
            }
            Message::Answer { merged, evidence } => {
                self.store
                    .record_exchange(&from.host, from.boot.0, merged, evidence);
            }
        }
        Ok(())
    }

    /// Asks the coordinators that lack evidence of this host, and in a round the next one in turn.
    fn ask_coordinators(&self, round: Option<usize>) {
        let mut coordinators = self.members.coordinators();
        coordinators.retain(|host| *host != self.host);
        let turn = round.and_then(|round| round.checked_rem(coordinators.len()));
        for (index, host) in coordinators.iter().enumerate() {
            if turn == Some(index) || self.store.has_news(host) {
                let (evidence, known) = self.store.outgoing(host);
                self.send(host, &Message::Question { evidence, known });
            }
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        match postcard::to_allocvec(message) {
            Ok(body) => self.client.send(to, Channel::Quarantine, body.into()),
            Err(reason) => error!(self.logger, ""; "event" => "evidence_not_encoded",
                "reason" => %reason),
        }
    }
}
