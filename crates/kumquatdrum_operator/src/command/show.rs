//! `show`: reads back what is or was in force, byte for byte.

use std::io::Write;

use kumquatdrum_setup::{Digest, Revision, Selector};
use kumquatdrum_types::Version;

use super::{Exit, Stop, client, describe, finish, print_json};
use crate::client::Connection;
use crate::rfc3339;

/// What to show.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whom to ask.
    pub connection: Connection,
    /// This version, rather than the current one.
    pub version: Option<u64>,
    /// What was in force then (RFC 3339, or milliseconds since the Unix epoch), rather than now.
    pub at: Option<String>,
    /// Print one JSON object with the text in it, rather than the text alone.
    pub json: bool,
}

/// Shows a declaration: its bytes and nothing else to `out`, what is known of it to `notes`.
pub async fn run(
    options: &Options,
    out: &mut (dyn Write + Send),
    notes: &mut (dyn Write + Send),
) -> Exit {
    let result = show(options, out, notes).await;
    if options.json {
        finish(result, true, out)
    } else {
        finish(result, false, notes)
    }
}

async fn show(
    options: &Options,
    out: &mut (dyn Write + Send),
    notes: &mut (dyn Write + Send),
) -> Result<Exit, Stop> {
    let selector = selector(options)?;
    let shown = client(&options.connection)?.show(selector).await?;
    if Digest::of(shown.text.as_bytes()) != shown.digest {
        writeln!(
            notes,
            "the text of version {} does not match its digest",
            shown.version
        )?;
        return Ok(Exit::Failure);
    }
    if options.json {
        print_json(out, &shown)?;
    } else {
        note(notes, &shown)?;
        out.write_all(shown.text.as_bytes())?;
        out.flush()?;
    }
    Ok(Exit::Success)
}

fn selector(options: &Options) -> Result<Selector, Stop> {
    match (options.version, &options.at) {
        (None, None) => Ok(Selector::Current),
        (Some(version), None) => Ok(Selector::Version(Version(version))),
        (None, Some(at)) => {
            let unix_ms = at.parse().ok().or_else(|| rfc3339::parse(at));
            let unix_ms = unix_ms.ok_or_else(|| {
                Stop::Usage(format!("{at} is no time, such as 2026-12-02T21:30:00Z"))
            })?;
            Ok(Selector::At(unix_ms))
        }
        (Some(_), Some(_)) => Err(Stop::Usage("give a version or a time, not both".to_owned())),
    }
}

fn note(notes: &mut dyn Write, shown: &Revision) -> std::io::Result<()> {
    let accepted = rfc3339::format(shown.accepted_unix_ms);
    let standing = describe(shown.standing);
    let version = shown.version;
    writeln!(notes, "version {version}, accepted {accepted}, {standing}")
}
