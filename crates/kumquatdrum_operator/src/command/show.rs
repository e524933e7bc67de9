//! `show`: prints the exact bytes of the current or an earlier declaration.

use std::io::Write;

use kumquatdrum_setup::{Digest, Revision, Selector};
use kumquatdrum_types::Version;

use super::{Exit, Failure, describe_standing, finish, new_client, print_json};
use crate::client::Connection;
use crate::rfc3339;

/// Options of `show`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Hosts and key.
    pub connection: Connection,
    /// Version to show instead of the current one.
    pub version: Option<u64>,
    /// Time whose version to show instead of the current one, in RFC 3339 format or in milliseconds
    /// since the Unix epoch.
    pub at: Option<String>,
    /// Whether to print a JSON object that contains the text, instead of the text alone.
    pub json: bool,
}

/// Shows a declaration. Only its bytes are written to `out`, its version and state to `notes`.
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
) -> Result<Exit, Failure> {
    let selector = selector(options)?;
    let revision = new_client(&options.connection)?.show(selector).await?;
    if Digest::of(revision.text.as_bytes()) != revision.digest {
        writeln!(
            notes,
            "the text of version {} does not match its digest",
            revision.version
        )?;
        return Ok(Exit::Failure);
    }
    if options.json {
        print_json(out, &revision)?;
    } else {
        print_note(notes, &revision)?;
        out.write_all(revision.text.as_bytes())?;
        out.flush()?;
    }
    Ok(Exit::Success)
}

fn selector(options: &Options) -> Result<Selector, Failure> {
    match (options.version, &options.at) {
        (None, None) => Ok(Selector::Current),
        (Some(version), None) => Ok(Selector::Version(Version(version))),
        (None, Some(at)) => {
            let unix_ms = at.parse().ok().or_else(|| rfc3339::parse(at));
            let unix_ms = unix_ms.ok_or_else(|| {
                Failure::Usage(format!(
                    "{at} is neither an RFC 3339 time, such as 2026-12-02T21:30:00Z, nor \
                     milliseconds since the Unix epoch"
                ))
            })?;
            Ok(Selector::At(unix_ms))
        }
        (Some(_), Some(_)) => Err(Failure::Usage(
            "give a version or a time, not both".to_owned(),
        )),
    }
}

fn print_note(notes: &mut dyn Write, revision: &Revision) -> std::io::Result<()> {
    let accepted = rfc3339::format(revision.accepted_unix_ms);
    let standing = describe_standing(revision.standing);
    let version = revision.version;
    writeln!(notes, "version {version}, accepted {accepted}, {standing}")
}
