//! The replicated state machine of the setup.

use indexmap::IndexMap;
use kumquatdrum_declaration::Declaration;
use kumquatdrum_types::{Finding, Version};

use crate::audit::{MAX_RECORDED_PLACES, Outcome, Record, Trail};
use crate::claim::{Claim, Settlement, Table};
use crate::command::{
    Action, Answer, Apply, ApplyAnswer, ApplyId, ApplyRequest, Command, RefusedApply,
};
use crate::control::{Revision, Selector, Standing};
use crate::history::History;
use crate::snapshot::{self, Contents, RestoreError};
use crate::{Digest, Stamp, in_force};

/// Maximum number of findings of a refused apply in the log.
pub const MAX_LOGGED_FINDINGS: usize = 1_000;
/// Maximum number of recorded premature applies.
const MAX_PREMATURE_APPLIES: usize = 1_024;

/// The state after the applied log entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StateMachine {
    applied: u64,
    clock_ms: u64,
    history: History,
    trail: Trail,
    claims: Table,
    /// The bases of applies whose base was above the current version. Their resends must not be
    /// accepted once the base is current, as the applies were answered with a conflict.
    premature: IndexMap<ApplyId, Version>,
}

/// The leader's next step for a received apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Preparation {
    /// Send this answer at once, as the apply is a resend.
    Answered(ApplyAnswer),
    /// Propose this action and send the state machine's answer.
    Propose(Action),
}

impl StateMachine {
    /// Applies the log entry at `index`. An entry that was applied before has no effect.
    ///
    /// ```
    /// use kumquatdrum_setup::{
    ///     Answer, ApplyAnswer, ApplyRequest, Command, Preparation, Stamp, StateMachine,
    /// };
    /// use kumquatdrum_types::Version;
    ///
    /// let mut state = StateMachine::default();
    /// let request = ApplyRequest::new("kadri", Version(0), "{}");
    /// let Preparation::Propose(action) = state.prepare(&request) else {
    ///     panic!("the request is new")
    /// };
    /// let answer = state.apply(1, &Command { stamp: Stamp::default(), action });
    /// assert_eq!(answer, Answer::Apply(ApplyAnswer::Accepted { version: Version(1) }));
    /// assert!(matches!(state.prepare(&request), Preparation::Answered(_)));
    /// ```
    pub fn apply(&mut self, index: u64, command: &Command) -> Answer {
        if index <= self.applied {
            return Answer::AlreadyApplied;
        }
        self.applied = index;
        self.clock_ms = self.clock_ms.saturating_add(command.stamp.elapsed_ms);
        self.claims.expire(self.clock_ms);
        match &command.action {
            Action::Apply(apply) => Answer::Apply(self.apply_request(command.stamp, apply)),
            Action::RefusedApply(refused) => {
                Answer::Apply(self.record_refusal(command.stamp, refused))
            }
            Action::Claims(claims) => Answer::Claims(self.claim(claims).collect()),
            Action::Settle(settlements) => Answer::Settle(self.settle(settlements).collect()),
        }
    }

    /// Marks the log as applied up to `index`, whose entry contains no command.
    pub fn skip(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Checks a request before it is proposed. A resend of an accepted apply needs no log entry.
    pub fn prepare(&self, request: &ApplyRequest) -> Preparation {
        let answer = self.answer_resend(&request.apply_id, request.digest());
        if let Some(answer @ ApplyAnswer::Accepted { .. }) = answer {
            return Preparation::Answered(answer);
        }
        match kumquatdrum_declaration::parse_and_check(&request.text) {
            Ok(declaration) => Preparation::Propose(Action::Apply(Apply {
                changes: self.changes(request, &declaration),
                request: request.clone(),
            })),
            Err(findings) => Preparation::Propose(Action::RefusedApply(refused(request, findings))),
        }
    }

    /// Returns the places at which a new declaration differs from the one in force.
    fn changes(&self, request: &ApplyRequest, new: &Declaration) -> Vec<String> {
        if request.base != self.current_version() {
            return Vec::new();
        }
        let old = kumquatdrum_declaration::parse(self.history.current_text());
        let changes = old.map(|old| kumquatdrum_declaration::diff(&old, new));
        let changes = changes.unwrap_or_default();
        changes.iter().map(ToString::to_string).collect()
    }

    fn answer_resend(&self, apply_id: &ApplyId, request: Digest) -> Option<ApplyAnswer> {
        let version = self.history.version_of_apply(apply_id)?;
        match self.history.record(version) {
            Some(record) if record.request == request => Some(ApplyAnswer::Accepted { version }),
            _ => Some(ApplyAnswer::IdTaken { version }),
        }
    }

    fn apply_request(&mut self, stamp: Stamp, apply: &Apply) -> ApplyAnswer {
        let request = &apply.request;
        let answer = match self.answer_resend(&request.apply_id, request.digest()) {
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
                // A resend with this or a later base must still be recognised.
                self.premature.retain(|_, base| *base >= version);
                self.record(
                    unix_ms,
                    &attempt,
                    Outcome::Accepted(version),
                    &apply.changes,
                );
            }
            ApplyAnswer::Conflict { current } => {
                self.record_premature(request);
                self.record(unix_ms, &attempt, Outcome::Conflict(current), &[]);
            }
            ApplyAnswer::IdTaken { version } => {
                self.record(unix_ms, &attempt, Outcome::IdTaken(version), &[]);
            }
            ApplyAnswer::Refused { .. } => {}
        }
        answer
    }

    fn decide(&self, request: &ApplyRequest) -> ApplyAnswer {
        let current = self.current_version();
        if request.base == current && !self.premature.contains_key(&request.apply_id) {
            let version = Version(current.0 + 1);
            ApplyAnswer::Accepted { version }
        } else {
            ApplyAnswer::Conflict { current }
        }
    }

    fn record_premature(&mut self, request: &ApplyRequest) {
        if request.base <= self.current_version() {
            return;
        }
        if self.premature.len() >= MAX_PREMATURE_APPLIES {
            self.premature.shift_remove_index(0);
        }
        self.premature
            .insert(request.apply_id.clone(), request.base);
    }

    fn record_refusal(&mut self, stamp: Stamp, refused: &RefusedApply) -> ApplyAnswer {
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
        let taken_by = self.history.version_of_apply(&refused.apply_id);
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
            places: places.iter().take(MAX_RECORDED_PLACES).cloned().collect(),
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

    /// Returns the index of the last applied log entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the version in force.
    pub fn current_version(&self) -> Version {
        self.history.current_version()
    }

    /// Returns the history of all versions.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the audit trail.
    pub fn trail(&self) -> &Trail {
        &self.trail
    }

    /// Returns the claims of idempotency keys.
    pub fn claims(&self) -> &Table {
        &self.claims
    }

    /// Returns the version in force as an offer to other hosts.
    pub fn offer(&self) -> in_force::Offer {
        let revision = self.revision(self.current_version(), Standing::Confirmed);
        let revision = revision.expect("the current version exists");
        in_force::Offer {
            version: revision.version,
            digest: revision.digest,
            accepted_unix_ms: revision.accepted_unix_ms,
            text: revision.text,
        }
    }

    /// Returns a version with its text; `None` if the version does not exist.
    pub fn show(&self, selector: Selector, standing: Standing) -> Option<Revision> {
        let version = match selector {
            Selector::Current => self.current_version(),
            Selector::Version(version) => version,
            Selector::At(unix_ms) => self.history.version_at(unix_ms),
        };
        self.revision(version, standing)
    }

    fn revision(&self, version: Version, standing: Standing) -> Option<Revision> {
        let text = self.history.text(version)?;
        let record = self.history.record(version);
        Some(Revision {
            version,
            digest: record.map_or_else(|| Digest::of(text.as_bytes()), |record| record.content),
            accepted_unix_ms: record.map_or(0, |record| record.unix_ms),
            standing,
            text,
        })
    }

    /// Encodes the whole state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        snapshot::encode(&Contents {
            applied: self.applied,
            clock_ms: self.clock_ms,
            versions: self.history.versions().to_vec(),
            trail: self.trail.clone(),
            claims: self.claims.entries().cloned().collect(),
            premature: self
                .premature
                .iter()
                .map(|(id, base)| (id.clone(), *base))
                .collect(),
        })
    }

    /// Decodes a state encoded by [`StateMachine::encode`] and verifies its digest.
    ///
    /// ```
    /// use kumquatdrum_setup::StateMachine;
    /// let state = StateMachine::default();
    /// assert_eq!(StateMachine::restore(&state.encode()).unwrap(), state);
    /// assert!(StateMachine::restore(&[]).is_err());
    /// ```
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let contents = snapshot::decode(bytes)?;
        Ok(Self {
            applied: contents.applied,
            clock_ms: contents.clock_ms,
            history: History::restore(contents.versions)?,
            trail: contents.trail,
            claims: Table::restore(contents.claims),
            premature: contents.premature.into_iter().collect(),
        })
    }
}

/// The part of an apply that the audit trail records.
struct Attempt<'a> {
    operator: &'a str,
    base: Version,
    apply_id: &'a ApplyId,
    content: Digest,
}

fn refused(request: &ApplyRequest, mut findings: Vec<Finding>) -> RefusedApply {
    findings.truncate(MAX_LOGGED_FINDINGS);
    RefusedApply {
        operator: request.operator.clone(),
        base: request.base,
        apply_id: request.apply_id.clone(),
        content: Digest::of(request.text.as_bytes()),
        findings,
    }
}
