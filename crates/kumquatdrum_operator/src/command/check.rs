//! `check FILE`: prints all findings of a declaration without contacting a host.

use std::io::Write;
use std::path::PathBuf;

use kumquatdrum_types::Finding;
use serde::Serialize;

use super::{Exit, Failure, finish, print_findings, print_json, read_file};

/// Options of `check`.
#[derive(Debug, Clone)]
pub struct Options {
    /// File with the declaration.
    pub file: PathBuf,
    /// Whether to print JSON.
    pub json: bool,
}

#[derive(Debug, Serialize)]
struct Output<'a> {
    findings: &'a [Finding],
}

/// Checks a declaration. Returns [`Exit::Failure`] if it has findings.
pub fn run(options: &Options, out: &mut dyn Write) -> Exit {
    finish(check(options, out), options.json, out)
}

fn check(options: &Options, out: &mut dyn Write) -> Result<Exit, Failure> {
    let text = read_file(&options.file)?;
    let findings = kumquatdrum_declaration::parse_and_check(&text)
        .err()
        .unwrap_or_default();
    let output = Output {
        findings: &findings,
    };
    match (options.json, findings.is_empty()) {
        (true, _) => print_json(out, &output)?,
        (false, true) => writeln!(out, "no findings")?,
        (false, false) => print_findings(out, &findings)?,
    }
    Ok(if findings.is_empty() {
        Exit::Success
    } else {
        Exit::Failure
    })
}
