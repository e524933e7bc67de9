//! `apply FILE --base N`: puts a declaration in force.

use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

use kumquatdrum_setup::ApplyId;
use kumquatdrum_types::Version;
use tokio::time::Instant;

use super::{Exit, Stop, client, finish, print_findings, print_json, read};
use crate::client::{Client, Connection};
use crate::progress::Progress;
use crate::report::{HostSpread, Reached, Report, Spread};

const WAIT_INTERVAL: Duration = Duration::from_millis(200);

/// What to apply.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whom to ask.
    pub connection: Connection,
    /// The declaration.
    pub file: PathBuf,
    /// The version that the declaration builds on.
    pub base: u64,
    /// An id in place of the derived one.
    pub apply_id: Option<String>,
    /// How long to wait until it is in force everywhere.
    pub wait: Option<Duration>,
    /// Print JSON.
    pub json: bool,
}

/// Applies a declaration. [`Exit::Failure`] for a conflict or findings; [`Exit::Unknown`] if it was
/// accepted and isn't in force everywhere when the wait is over.
pub async fn run(options: &Options, out: &mut (dyn Write + Send)) -> Exit {
    let result = apply(options, out).await;
    finish(result, options.json, out)
}

async fn apply(options: &Options, out: &mut (dyn Write + Send)) -> Result<Exit, Stop> {
    let text = read(&options.file)?;
    let client = client(&options.connection)?;
    let apply_id = options.apply_id.as_ref().map(ApplyId::new);
    let base = Version(options.base);
    let mut report = client.apply(base, apply_id.as_ref(), &text).await?;
    let mut exit = exit(&report);
    if !options.json {
        print(out, &report)?;
    }
    if let (Report::Accepted { version, spread }, Some(wait)) = (&mut report, options.wait) {
        let reached = follow(&client, *version, wait, options.json, out).await?;
        exit = if reached.everywhere {
            Exit::Success
        } else {
            Exit::Unknown
        };
        *spread = Some(reached);
    }
    match &report {
        report if options.json => print_json(out, report)?,
        Report::Accepted {
            spread: Some(spread),
            ..
        } => print_rest(out, spread)?,
        _ => {}
    }
    Ok(exit)
}

fn exit(report: &Report) -> Exit {
    match report {
        Report::Accepted { .. } => Exit::Success,
        Report::Conflict { .. }
        | Report::IdTaken { .. }
        | Report::Refused { .. }
        | Report::NoSuchVersion => Exit::Failure,
        Report::Unauthorized | Report::BadRequest { .. } => Exit::Usage,
        Report::Unavailable { .. } | Report::Unknown => Exit::Unknown,
    }
}

fn print(out: &mut dyn Write, report: &Report) -> io::Result<()> {
    match report {
        Report::Accepted { version, .. } => writeln!(out, "accepted as version {version}"),
        Report::Conflict { current } => {
            writeln!(out, "conflict: the current version is {current}")
        }
        Report::IdTaken { version } => {
            writeln!(
                out,
                "the apply id belongs to another apply, version {version}"
            )
        }
        Report::Refused { findings } => print_findings(out, findings),
        Report::Unauthorized => writeln!(out, "the key is no operator's key"),
        Report::BadRequest { message } => writeln!(out, "{message}"),
        other => writeln!(out, "{}", other.word()),
    }
}

/// Follows a version until it is in force everywhere or the time is up. A host that can't be
/// asked meanwhile only delays the next look.
async fn follow(
    client: &Client,
    version: Version,
    wait: Duration,
    json: bool,
    out: &mut (dyn Write + Send),
) -> io::Result<Spread> {
    let end = Instant::now() + wait;
    let mut progress = Progress::new(version);
    loop {
        let status = tokio::time::timeout_at(end, client.status()).await;
        if let Ok(Ok(status)) = status {
            let news = progress.observe(&status);
            let reached = news.iter().filter(|host| host.reached == Reached::InForce);
            let mut reached = reached.filter(|_| !json);
            reached.try_for_each(|host| print_host(out, "in force", host))?;
        }
        let spread = progress.spread();
        if spread.everywhere || Instant::now() >= end {
            return Ok(spread);
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

fn print_host(out: &mut dyn Write, what: &str, host: &HostSpread) -> io::Result<()> {
    writeln!(out, "{what}: {} ({})", host.host, host.data_centre)
}

fn print_rest(out: &mut dyn Write, spread: &Spread) -> io::Result<()> {
    for host in &spread.hosts {
        match host.reached {
            Reached::InForce => {}
            Reached::Behind => print_host(out, "behind", host)?,
            Reached::CutOff => print_host(out, "cut off", host)?,
        }
    }
    match (spread.everywhere, spread.hosts.is_empty()) {
        (true, _) => writeln!(out, "in force everywhere"),
        (false, true) => writeln!(out, "accepted, but no host told how far it has spread"),
        (false, false) => writeln!(out, "accepted, but not yet in force everywhere"),
    }
}
