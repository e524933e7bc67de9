//! `audit`: lists the audit trail and verifies its digests locally.

use std::io::{self, Write};

use kumquatdrum_setup::audit::{Entry, Violation, verify};
use kumquatdrum_setup::{Digest, Outcome};
use serde::Serialize;

use super::{Exit, Failure, finish, new_client, print_json};
use crate::client::Connection;
use crate::rfc3339;

const PAGE_SIZE: usize = 500;

/// Options of `audit`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Hosts and key.
    pub connection: Connection,
    /// Sequence number of the first entry, starting at 1.
    pub from: u64,
    /// Whether to print JSON: one object per line for each entry, then the verification.
    pub json: bool,
}

/// Result of the verification, printed as the last line.
#[derive(Debug, Serialize)]
struct Verification {
    verified: bool,
    entries: u64,
    head: Digest,
    #[serde(skip_serializing_if = "Option::is_none")]
    broken: Option<String>,
}

/// Lists the trail. Returns [`Exit::Failure`] if its chain of digests is broken.
pub async fn run(options: &Options, out: &mut (dyn Write + Send)) -> Exit {
    let result = audit(options, out).await;
    finish(result, options.json, out)
}

async fn audit(options: &Options, out: &mut (dyn Write + Send)) -> Result<Exit, Failure> {
    let client = new_client(&options.connection)?;
    let mut chain = Chain::default();
    let mut from = Some(options.from.max(1));
    while let Some(start) = from {
        let page = client.audit(start, PAGE_SIZE).await?;
        chain.append(page.previous, &page.entries);
        for entry in &page.entries {
            print_entry(out, entry, options.json)?;
        }
        // Guards against a host whose next page does not advance, which would loop forever.
        from = page.next.filter(|next| *next > start);
    }
    let verification = chain.verification();
    print_verification(out, &verification, options.json)?;
    Ok(if verification.verified {
        Exit::Success
    } else {
        Exit::Failure
    })
}

/// Digest chain over the pages so far.
#[derive(Debug, Default)]
struct Chain {
    head: Option<Digest>,
    last_sequence: u64,
    entries: u64,
    violation: Option<String>,
}

impl Chain {
    fn append(&mut self, previous: Digest, entries: &[Entry]) {
        self.entries += entries.len() as u64;
        let first = entries
            .first()
            .map_or(self.last_sequence + 1, |entry| entry.record.sequence);
        let start = self.head.unwrap_or(previous);
        let verified = match verify(start, entries) {
            _ if self.head.is_some() && first != self.last_sequence + 1 => {
                Err(Violation::Sequence {
                    expected: self.last_sequence + 1,
                    found: first,
                })
            }
            verified => verified,
        };
        match verified {
            Ok(head) => self.head = Some(head),
            Err(violation) => {
                self.violation.get_or_insert(violation.to_string());
            }
        }
        self.last_sequence = entries
            .last()
            .map_or(self.last_sequence, |entry| entry.record.sequence);
    }

    fn verification(self) -> Verification {
        Verification {
            verified: self.violation.is_none(),
            entries: self.entries,
            head: self.head.unwrap_or_default(),
            broken: self.violation,
        }
    }
}

fn print_entry(out: &mut dyn Write, entry: &Entry, json: bool) -> io::Result<()> {
    if json {
        return print_json(out, entry);
    }
    let record = &entry.record;
    let outcome = match record.outcome {
        Outcome::Accepted(version) => format!("accepted as {version}"),
        Outcome::Conflict(current) => format!("conflict, the current version was {current}"),
        Outcome::Refused => format!("refused, {} findings", record.places_total),
        Outcome::IdTaken(version) => format!("apply id belongs to version {version}"),
    };
    writeln!(
        out,
        "{}  {}  {}  base {}  {outcome}  sha256 {}",
        record.sequence,
        rfc3339::format(record.at_unix_ms),
        record.operator,
        record.base,
        record.content,
    )?;
    record
        .places
        .iter()
        .try_for_each(|place| writeln!(out, "    {place}"))
}

fn print_verification(
    out: &mut dyn Write,
    verification: &Verification,
    json: bool,
) -> io::Result<()> {
    match &verification.broken {
        _ if json => print_json(out, verification),
        None => writeln!(
            out,
            "{} entries, chain verified, head {}",
            verification.entries, verification.head
        ),
        Some(violation) => writeln!(out, "the chain is broken: {violation}"),
    }
}
