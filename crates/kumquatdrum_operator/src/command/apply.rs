//! `apply FILE --base N`: puts a declaration in force.

use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

use kumquatdrum_setup::ApplyId;
use kumquatdrum_types::Version;
use tokio::time::Instant;

use super::{Exit, Failure, finish, new_client, print_findings, print_json, read_file};
use crate::client::{Client, Connection};
use crate::progress::Progress;
use crate::report::{HostRollout, HostState, Report, Rollout};

const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Options of `apply`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Hosts and key.
    pub connection: Connection,
    /// File with the declaration.
    pub file: PathBuf,
    /// Version that the declaration replaces.
    pub base: u64,
    /// Apply id. Derived from the request if absent.
    pub apply_id: Option<String>,
    /// Maximum time to wait until the version is in force on all hosts.
    pub wait: Option<Duration>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Applies a declaration. Returns [`Exit::Failure`] for a conflict or findings, and
/// [`Exit::Unknown`] if the version was accepted but is not in force everywhere after the wait.
pub async fn run(options: &Options, out: &mut (dyn Write + Send)) -> Exit {
    let result = apply(options, out).await;
    finish(result, options.json, out)
}

async fn apply(options: &Options, out: &mut (dyn Write + Send)) -> Result<Exit, Failure> {
    let text = read_file(&options.file)?;
    let client = new_client(&options.connection)?;
    let apply_id = options.apply_id.as_ref().map(ApplyId::new);
    let base = Version(options.base);
    let mut report = client.apply(base, apply_id.as_ref(), &text).await?;
    let mut exit = exit_of(&report);
    if !options.json {
        print(out, &report)?;
    }
    if let (Report::Accepted { version, rollout }, Some(wait)) = (&mut report, options.wait) {
        let reached = wait_for_rollout(&client, *version, wait, options.json, out).await?;
        exit = if reached.is_everywhere {
            Exit::Success
        } else {
            Exit::Unknown
        };
        *rollout = Some(reached);
    }
    match &report {
        report if options.json => print_json(out, report)?,
        Report::Accepted {
            rollout: Some(rollout),
            ..
        } => print_rollout(out, rollout)?,
        _ => {}
    }
    Ok(exit)
}

fn exit_of(report: &Report) -> Exit {
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
        Report::Unauthorized => writeln!(out, "the key is not an operator's key"),
        Report::BadRequest { message } => writeln!(out, "{message}"),
        other => writeln!(out, "{}", other.outcome()),
    }
}

/// Polls the status until the version is in force everywhere or the time is up. Failed status
/// requests are repeated at the next poll.
async fn wait_for_rollout(
    client: &Client,
    version: Version,
    wait: Duration,
    json: bool,
    out: &mut (dyn Write + Send),
) -> io::Result<Rollout> {
    let end = Instant::now() + wait;
    let mut progress = Progress::new(version);
    loop {
        let status = tokio::time::timeout_at(end, client.status()).await;
        if let Ok(Ok(status)) = status {
            let changed = progress.observe(&status);
            let reached = changed
                .iter()
                .filter(|host| host.state == HostState::InForce);
            let mut reached = reached.filter(|_| !json);
            reached.try_for_each(|host| print_host(out, "in force", host))?;
        }
        let rollout = progress.rollout();
        if rollout.is_everywhere || Instant::now() >= end {
            return Ok(rollout);
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

fn print_host(out: &mut dyn Write, state: &str, host: &HostRollout) -> io::Result<()> {
    writeln!(out, "{state}: {} ({})", host.host, host.data_centre)
}

/// Prints the hosts that do not have the version, and a summary.
fn print_rollout(out: &mut dyn Write, rollout: &Rollout) -> io::Result<()> {
    for host in &rollout.hosts {
        match host.state {
            HostState::InForce => {}
            HostState::Behind => print_host(out, "behind", host)?,
            HostState::CutOff => print_host(out, "cut off", host)?,
        }
    }
    match (rollout.is_everywhere, rollout.hosts.is_empty()) {
        (true, _) => writeln!(out, "in force everywhere"),
        (false, true) => writeln!(out, "accepted, but no host reported the rollout"),
        (false, false) => writeln!(out, "accepted, but not yet in force everywhere"),
    }
}
