//! The operators' commands. Each one takes its options and returns an [`Exit`].

pub mod apply;
pub mod audit;
pub mod check;
pub mod evacuate;
pub mod show;
pub mod status;

use std::io::{self, Write};
use std::path::Path;

use kumquatdrum_setup::Standing;
use kumquatdrum_types::Finding;
use serde::Serialize;

use crate::client::{Client, Connection, Error};
use crate::report::Report;
use crate::rfc3339;

/// Result of a command, as the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// 0: the command succeeded.
    Success,
    /// 1: the command was refused or a check failed.
    Failure,
    /// 2: the command line, the file or the key is invalid.
    Usage,
    /// 3: no host could be reached, or the outcome is unknown.
    Unknown,
}

impl Exit {
    /// Returns the exit code.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_operator::Exit::Failure.code(), 1);
    /// ```
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
        }
    }
}

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The file cannot be read.
    #[error("{0}")]
    File(String),
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// No host responded, or a host rejected the request.
    #[error(transparent)]
    Client(#[from] Error),
    /// A gateway refused the order.
    #[error("{0}")]
    Refused(String),
    /// No gateway answered, or the outcome is unknown.
    #[error("{0}")]
    Unanswered(String),
    /// The output cannot be written.
    #[error("the output can't be written: {0}")]
    Output(#[from] io::Error),
}

impl Failure {
    fn exit(&self) -> Exit {
        match self {
            Self::File(_) | Self::Usage(_) => Exit::Usage,
            Self::Client(Error::Rejected(Report::Unauthorized | Report::BadRequest { .. })) => {
                Exit::Usage
            }
            Self::Client(Error::Rejected(_)) | Self::Refused(_) => Exit::Failure,
            Self::Client(_) | Self::Unanswered(_) | Self::Output(_) => Exit::Unknown,
        }
    }
}

/// Output of a failed command with `--json`.
#[derive(Debug, Serialize)]
struct Output<'a> {
    error: &'a str,
    exit: u8,
}

/// Prints the error of a failed command, and returns the command's exit status.
pub(crate) fn finish(result: Result<Exit, Failure>, json: bool, out: &mut dyn Write) -> Exit {
    let failure = match result {
        Ok(exit) => return exit,
        Err(failure) => failure,
    };
    let exit = failure.exit();
    let error = failure.to_string();
    let output = Output {
        error: &error,
        exit: exit.code(),
    };
    // The exit code reports the failure even if the output cannot be written.
    let _ = if json {
        print_json(out, &output)
    } else {
        writeln!(out, "{error}")
    };
    exit
}

pub(crate) fn print_json(out: &mut dyn Write, value: &impl Serialize) -> io::Result<()> {
    let line = serde_json::to_string(value)?;
    writeln!(out, "{line}")
}

pub(crate) fn print_findings(out: &mut dyn Write, findings: &[Finding]) -> io::Result<()> {
    findings
        .iter()
        .try_for_each(|finding| writeln!(out, "{finding}"))
}

pub(crate) fn read_file(file: &Path) -> Result<String, Failure> {
    let text = std::fs::read_to_string(file);
    text.map_err(|error| Failure::File(format!("{}: {error}", file.display())))
}

pub(crate) fn new_client(connection: &Connection) -> Result<Client, Failure> {
    if connection.hosts.is_empty() {
        return Err(Failure::Usage("at least one host is required".to_owned()));
    }
    let client = Client::new(connection.clone());
    client.map_err(|error| Failure::Usage(error.to_string()))
}

/// Describes whether the data of an answer is confirmed to be current.
pub(crate) fn describe_standing(standing: Standing) -> String {
    match standing {
        Standing::Confirmed => "confirmed".to_owned(),
        Standing::LastKnown {
            as_of_unix_ms: Some(unix_ms),
        } => format!("last known, as of {}", rfc3339::format(unix_ms)),
        Standing::LastKnown {
            as_of_unix_ms: None,
        } => "last known, no contact with a majority yet".to_owned(),
    }
}
