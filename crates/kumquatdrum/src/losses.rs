//! Counts requests that were late, refused or cut, by cause, from the logs of several hosts.

use std::path::PathBuf;

use bpaf::Bpaf;
use kumquatdrum_operator::Exit;

mod cause;
mod table;

use table::Table;

use crate::logs;

/// Logs and output:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(arguments))]
pub struct Arguments {
    #[bpaf(external(crate::cli::json))]
    json: bool,
    /// Print one table for each span of this many seconds
    #[bpaf(argument("SECONDS"))]
    every: Option<u32>,
    /// Logs of gateway hosts, in any order
    #[bpaf(positional("FILE"), some("at least one log is required"))]
    files: Vec<PathBuf>,
}

/// Prints the tables. Files that are not logs of a host are reported and skipped. Returns
/// [`Exit::Failure`] if the logs contain no requests.
pub fn run(arguments: &Arguments) -> Exit {
    let mut lines = Vec::new();
    for file in &arguments.files {
        match logs::read(file) {
            Ok(read) if read.is_empty() => eprintln!(
                "{}: contains no log lines of a host; skipped",
                file.display()
            ),
            Ok(read) => lines.extend(read),
            Err(reason) => eprintln!("{}: {reason}", file.display()),
        }
    }
    let table = Table::from_lines(lines, arguments.every.unwrap_or(0));
    if arguments.json {
        println!("{:#}", table.to_json());
    } else {
        print!("{table}");
    }
    if table.is_empty() {
        Exit::Failure
    } else {
        Exit::Success
    }
}
