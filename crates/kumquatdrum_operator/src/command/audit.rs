//! `audit`: the trail of all attempts, verified here and not by the hosts.

use std::io::{self, Write};

use kumquatdrum_setup::audit::{Entry, Violation, verify};
use kumquatdrum_setup::{Digest, Outcome};
use serde::Serialize;

use super::{Exit, Stop, client, finish, print_json};
use crate::client::Connection;
use crate::rfc3339;

const PAGE: usize = 500;

/// What to list.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whom to ask.
    pub connection: Connection,
    /// The first entry, from 1.
    pub from: u64,
    /// Print one JSON object a line: each entry, then the verdict.
    pub json: bool,
}

/// The last line of the output.
#[derive(Debug, Serialize)]
struct Verdict {
    verified: bool,
    entries: u64,
    head: Digest,
    #[serde(skip_serializing_if = "Option::is_none")]
    broken: Option<String>,
}

/// Lists the trail: [`Exit::Failure`] if its chain of digests is broken.
pub async fn run(options: &Options, out: &mut (dyn Write + Send)) -> Exit {
    let result = audit(options, out).await;
    finish(result, options.json, out)
}

async fn audit(options: &Options, out: &mut (dyn Write + Send)) -> Result<Exit, Stop> {
    let client = client(&options.connection)?;
    let mut chain = Chain::default();
    let mut from = Some(options.from.max(1));
    while let Some(start) = from {
        let page = client.audit(start, PAGE).await?;
        chain.take(page.previous, &page.entries);
        for entry in &page.entries {
            print_entry(out, entry, options.json)?;
        }
        // A next page that isn't further on would go round for ever.
        from = page.next.filter(|next| *next > start);
    }
    let verdict = chain.verdict();
    print_verdict(out, &verdict, options.json)?;
    Ok(if verdict.verified {
        Exit::Success
    } else {
        Exit::Failure
    })
}

/// The chain over all pages so far.
#[derive(Debug, Default)]
struct Chain {
    head: Option<Digest>,
    last: u64,
    entries: u64,
    broken: Option<String>,
}

impl Chain {
    fn take(&mut self, previous: Digest, entries: &[Entry]) {
        self.entries += entries.len() as u64;
        let first = entries
            .first()
            .map_or(self.last + 1, |entry| entry.record.sequence);
        let start = self.head.unwrap_or(previous);
        let verified = match verify(start, entries) {
            _ if self.head.is_some() && first != self.last + 1 => Err(Violation::Sequence {
                expected: self.last + 1,
                found: first,
            }),
            verified => verified,
        };
        match verified {
            Ok(head) => self.head = Some(head),
            Err(broken) => {
                self.broken.get_or_insert(broken.to_string());
            }
        }
        self.last = entries
            .last()
            .map_or(self.last, |entry| entry.record.sequence);
    }

    fn verdict(self) -> Verdict {
        Verdict {
            verified: self.broken.is_none(),
            entries: self.entries,
            head: self.head.unwrap_or_default(),
            broken: self.broken,
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
        Outcome::Conflict(current) => format!("conflict with {current}"),
        Outcome::Refused => format!("refused, {} findings", record.places_total),
        Outcome::IdTaken(version) => format!("apply id of {version}"),
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

fn print_verdict(out: &mut dyn Write, verdict: &Verdict, json: bool) -> io::Result<()> {
    match &verdict.broken {
        _ if json => print_json(out, verdict),
        None => writeln!(
            out,
            "{} entries, chain verified, head {}",
            verdict.entries, verdict.head
        ),
        Some(broken) => writeln!(out, "the chain is broken: {broken}"),
    }
}
