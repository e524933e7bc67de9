//! The state machine that the replicated log drives.

use indexmap::IndexMap;
use kumquatdrum_declaration::Declaration;
use kumquatdrum_types::{Finding, Version};

use crate::audit::{MAX_PLACES, Outcome, Record, Trail};
use crate::claim::{Claim, Settlement, Table};
use crate::command::{Action, Answer, Apply, ApplyAnswer, ApplyId, Command, RefusedApply, Request};
use crate::control::{Selector, Shown, Standing};
use crate::history::History;
use crate::snapshot::{self, Contents, RestoreError};
use crate::{Digest, Stamp, in_force};

/// The most findings of a refused apply that ride the log.
pub const MAX_FINDINGS: usize = 1_000;
/// The most ids that are kept of applies whose base lay above the current version.
const MAX_EARLY: usize = 1_024;

/// Everything that the log has led to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    applied: u64,
    clock_ms: u64,
    history: History,
    trail: Trail,
    claims: Table,
    /// Applies refused since their base lay above the current version. They must not be accepted
    /// once that version is reached, as their operators were told that they weren't.
    early: IndexMap<ApplyId, Version>,
}

/// What the leader does with an apply that it received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Prepared {
    /// It answers at once: this is a resend.
    Answered(ApplyAnswer),
    /// It proposes this and answers with what the state machine says.
    Propose(Action),
}

impl State {
    /// Applies the log entry at `index`. An entry that was applied before changes nothing.
    ///
    /// ```
    /// use kumquatdrum_setup::{Action, Answer, ApplyAnswer, Command, Prepared, Request, Stamp, State};
    /// use kumquatdrum_types::Version;
    ///
    /// let mut state = State::default();
    /// let request = Request::new("kadri", Version(0), "{}");
    /// let Prepared::Propose(action) = state.prepare(&request) else { panic!("it is new") };
    /// let answer = state.apply(1, &Command { stamp: Stamp::default(), action });
    /// assert_eq!(answer, Answer::Apply(ApplyAnswer::Accepted { version: Version(1) }));
    /// assert!(matches!(state.prepare(&request), Prepared::Answered(_)));
    /// ```
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        self.clock_ms = self.clock_ms.saturating_add(command.stamp.elapsed_ms);
        self.claims.expire(self.clock_ms);
        match &command.action {
            Action::Apply(apply) => Answer::Apply(self.declare(command.stamp, apply)),
            Action::RefusedApply(refused) => Answer::Apply(self.refuse(command.stamp, refused)),
            Action::Claims(claims) => Answer::Claims(self.claim(claims).collect()),
            Action::Settle(settlements) => Answer::Settle(self.settle(settlements).collect()),
        }
    }

    /// Notes that the log was applied up to `index`, whose entry carried no command.
    pub fn skip(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Checks a request before it is proposed. Cheap for a resend, which needs no new entry.
    pub fn prepare(&self, request: &Request) -> Prepared {
        let resent = self.resent(&request.apply_id, request.digest());
        if let Some(answer @ ApplyAnswer::Accepted { .. }) = resent {
            return Prepared::Answered(answer);
        }
        match kumquatdrum_declaration::parse_and_check(&request.text) {
            Ok(declaration) => Prepared::Propose(Action::Apply(Apply {
                changes: self.changes(request, &declaration),
                request: request.clone(),
            })),
            Err(findings) => Prepared::Propose(Action::RefusedApply(refused(request, findings))),
        }
    }

    /// The places at which a new declaration differs from the one in force.
    fn changes(&self, request: &Request, new: &Declaration) -> Vec<String> {
        if request.base != self.current() {
            return Vec::new();
        }
        let old = kumquatdrum_declaration::parse(self.history.current_text());
        let changes = old.map(|old| kumquatdrum_declaration::diff(&old, new));
        let changes = changes.unwrap_or_default();
        changes.iter().map(ToString::to_string).collect()
    }

    fn resent(&self, apply_id: &ApplyId, request: Digest) -> Option<ApplyAnswer> {
        let version = self.history.of_apply(apply_id)?;
        match self.history.accepted(version) {
            Some(accepted) if accepted.request == request => {
                Some(ApplyAnswer::Accepted { version })
            }
            _ => Some(ApplyAnswer::IdTaken { version }),
        }
    }

    fn declare(&mut self, stamp: Stamp, apply: &Apply) -> ApplyAnswer {
        let request = &apply.request;
        let answer = match self.resent(&request.apply_id, request.digest()) {
            Some(resent @ ApplyAnswer::Accepted { .. }) => return resent,
            Some(taken) => taken,
            None => self.decide(request),
        };
        let unix_ms = stamp.unix_ms.max(self.history.last_unix_ms());
        let content = Digest::of(request.text.as_bytes());
        let attempt = Attempt {
            operator: &request.operator,
            base: request.base,
            apply_id: &request.apply_id,
            content,
        };
        match answer {
            ApplyAnswer::Accepted { version } => {
                let digest = request.digest();
                let id = request.apply_id.clone();
                self.history.push(unix_ms, id, digest, &request.text);
                // One whose base is the new version could be accepted from now on.
                self.early.retain(|_, base| *base >= version);
                self.record(
                    unix_ms,
                    &attempt,
                    Outcome::Accepted(version),
                    &apply.changes,
                );
            }
            ApplyAnswer::Conflict { current } => {
                self.remember_early(request);
                self.record(unix_ms, &attempt, Outcome::Conflict(current), &[]);
            }
            ApplyAnswer::IdTaken { version } => {
                self.record(unix_ms, &attempt, Outcome::IdTaken(version), &[]);
            }
            ApplyAnswer::Refused { .. } => {}
        }
        answer
    }

    fn decide(&self, request: &Request) -> ApplyAnswer {
        let current = self.current();
        if request.base == current && !self.early.contains_key(&request.apply_id) {
            let version = Version(current.0 + 1);
            ApplyAnswer::Accepted { version }
        } else {
            ApplyAnswer::Conflict { current }
        }
    }

    fn remember_early(&mut self, request: &Request) {
        if request.base <= self.current() {
            return;
        }
        if self.early.len() >= MAX_EARLY {
            self.early.shift_remove_index(0);
        }
        self.early.insert(request.apply_id.clone(), request.base);
    }

    fn refuse(&mut self, stamp: Stamp, refused: &RefusedApply) -> ApplyAnswer {
        let attempt = Attempt {
            operator: &refused.operator,
            base: refused.base,
            apply_id: &refused.apply_id,
            content: refused.content,
        };
        let findings = &refused.findings;
        let places: Vec<_> = findings
            .iter()
            .map(|finding| finding.place.clone())
            .collect();
        let taken_by = self.history.of_apply(&refused.apply_id);
        let (outcome, answer) = if let Some(version) = taken_by {
            (Outcome::IdTaken(version), ApplyAnswer::IdTaken { version })
        } else {
            let findings = findings.clone();
            (Outcome::Refused, ApplyAnswer::Refused { findings })
        };
        let unix_ms = stamp.unix_ms.max(self.history.last_unix_ms());
        self.record(unix_ms, &attempt, outcome, &places);
        answer
    }

    fn record(&mut self, unix_ms: u64, attempt: &Attempt<'_>, outcome: Outcome, places: &[String]) {
        self.trail.append(Record {
            sequence: 0,
            at_unix_ms: unix_ms,
            operator: attempt.operator.to_owned(),
            apply_id: attempt.apply_id.clone(),
            base: attempt.base,
            content: attempt.content,
            outcome,
            places: places.iter().take(MAX_PLACES).cloned().collect(),
            places_total: places.len() as u64,
        });
    }

    fn claim(&mut self, claims: &[Claim]) -> impl Iterator<Item = crate::ClaimAnswer> {
        claims
            .iter()
            .map(|claim| self.claims.claim(self.clock_ms, claim))
    }

    fn settle(&mut self, settlements: &[Settlement]) -> impl Iterator<Item = crate::SettleAnswer> {
        settlements
            .iter()
            .map(|settlement| self.claims.settle(self.clock_ms, settlement))
    }

    /// The index of the last log entry that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The version in force.
    pub fn current(&self) -> Version {
        self.history.current()
    }

    /// All versions.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The audit trail.
    pub fn trail(&self) -> &Trail {
        &self.trail
    }

    /// The claims.
    pub fn claims(&self) -> &Table {
        &self.claims
    }

    /// A version with its text, for other hosts.
    pub fn offer(&self) -> in_force::Offer {
        let shown = self.shown(self.current(), Standing::Confirmed);
        let shown = shown.expect("the current version is always there");
        in_force::Offer {
            version: shown.version,
            digest: shown.digest,
            accepted_unix_ms: shown.accepted_unix_ms,
            text: shown.text,
        }
    }

    /// Reads back a version; `None` if there is no such version yet.
    pub fn show(&self, selector: Selector, standing: Standing) -> Option<Shown> {
        let version = match selector {
            Selector::Current => self.current(),
            Selector::Version(version) => version,
            Selector::At(unix_ms) => self.history.at(unix_ms),
        };
        self.shown(version, standing)
    }

    fn shown(&self, version: Version, standing: Standing) -> Option<Shown> {
        let text = self.history.text(version)?;
        let accepted = self.history.accepted(version);
        Some(Shown {
            version,
            digest: accepted.map_or_else(|| Digest::of(text.as_bytes()), |it| it.content),
            accepted_unix_ms: accepted.map_or(0, |accepted| accepted.unix_ms),
            standing,
            text,
        })
    }

    /// The whole state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        snapshot::encode(&Contents {
            applied: self.applied,
            clock_ms: self.clock_ms,
            versions: self.history.versions().to_vec(),
            trail: self.trail.clone(),
            claims: self.claims.entries().cloned().collect(),
            early: self
                .early
                .iter()
                .map(|(id, base)| (id.clone(), *base))
                .collect(),
        })
    }

    /// Reads the bytes of [`State::encode`], and verifies their digest.
    ///
    /// ```
    /// use kumquatdrum_setup::State;
    /// let state = State::default();
    /// assert_eq!(State::restore(&state.encode()).unwrap(), state);
    /// assert!(State::restore(&[]).is_err());
    /// ```
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let contents = snapshot::decode(bytes)?;
        Ok(Self {
            applied: contents.applied,
            clock_ms: contents.clock_ms,
            history: History::restore(contents.versions)?,
            trail: contents.trail,
            claims: Table::restore(contents.claims),
            early: contents.early.into_iter().collect(),
        })
    }
}

/// Who tried what.
struct Attempt<'a> {
    operator: &'a str,
    base: Version,
    apply_id: &'a ApplyId,
    content: Digest,
}

fn refused(request: &Request, mut findings: Vec<Finding>) -> RefusedApply {
    findings.truncate(MAX_FINDINGS);
    RefusedApply {
        operator: request.operator.clone(),
        base: request.base,
        apply_id: request.apply_id.clone(),
        content: Digest::of(request.text.as_bytes()),
        findings,
    }
}
