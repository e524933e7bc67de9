//! Exit codes, the same for every subcommand.

use std::process::ExitCode;

/// What a subcommand came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// The answer is no: a conflict, a failed outcome, findings.
    No,
    /// The command line or the settings are wrong.
    Usage,
    /// Nobody could be reached, or the outcome is unknown.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::No => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        })
    }
}
