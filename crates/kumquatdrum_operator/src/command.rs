//! The operators' commands, each as a function from options to an [`Exit`].

pub mod apply;
pub mod audit;
pub mod check;
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

/// How a command ended; the process's exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// 0: it was done.
    Success,
    /// 1: the answer is no.
    Failure,
    /// 2: the command line, the file or the key is wrong.
    Usage,
    /// 3: nobody could be reached, or the outcome is unknown.
    Unknown,
}

impl Exit {
    /// The exit code.
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

/// Why a command ended early.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Stop {
    /// The file can't be read.
    #[error("{0}")]
    File(String),
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// No host answered, or the answer is no.
    #[error(transparent)]
    Client(#[from] Error),
    /// Nobody reads the output any more.
    #[error("the output can't be written: {0}")]
    Output(#[from] io::Error),
}

impl Stop {
    fn exit(&self) -> Exit {
        match self {
            Self::File(_) | Self::Usage(_) => Exit::Usage,
            Self::Client(Error::Answered(Report::Unauthorized | Report::BadRequest { .. })) => {
                Exit::Usage
            }
            Self::Client(Error::Answered(_)) => Exit::Failure,
            Self::Client(_) | Self::Output(_) => Exit::Unknown,
        }
    }
}

/// What `--json` prints of a command that ended early.
#[derive(Debug, Serialize)]
struct Failed<'a> {
    error: &'a str,
    exit: u8,
}

/// Tells why a command ended early, if it did.
pub(crate) fn finish(result: Result<Exit, Stop>, json: bool, out: &mut dyn Write) -> Exit {
    let stop = match result {
        Ok(exit) => return exit,
        Err(stop) => stop,
    };
    let exit = stop.exit();
    let error = stop.to_string();
    let failed = Failed {
        error: &error,
        exit: exit.code(),
    };
    // Where the output is gone, the exit code still tells.
    let _ = if json {
        print_json(out, &failed)
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

pub(crate) fn read(file: &Path) -> Result<String, Stop> {
    let text = std::fs::read_to_string(file);
    text.map_err(|error| Stop::File(format!("{}: {error}", file.display())))
}

pub(crate) fn client(connection: &Connection) -> Result<Client, Stop> {
    if connection.hosts.is_empty() {
        return Err(Stop::Usage("name at least one host".to_owned()));
    }
    let client = Client::new(connection.clone());
    client.map_err(|error| Stop::Usage(error.to_string()))
}

/// How sure a read-back is, for people.
pub(crate) fn describe(standing: Standing) -> String {
    match standing {
        Standing::Confirmed => "confirmed".to_owned(),
        Standing::LastKnown {
            as_of_unix_ms: Some(unix_ms),
        } => format!("last known, as of {}", rfc3339::format(unix_ms)),
        Standing::LastKnown {
            as_of_unix_ms: None,
        } => "last known; no majority heard of yet".to_owned(),
    }
}
