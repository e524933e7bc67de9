//! Which requests were late, refused or cut, and for what reason, from the logs of several hosts.

use std::path::PathBuf;

use bpaf::Bpaf;
use kumquatdrum_operator::Exit;

mod cause;
mod table;

use table::Table;

use crate::logs;

/// What to count, and from which logs
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(arguments))]
pub struct Arguments {
    #[bpaf(external(crate::cli::json))]
    json: bool,
    /// One table for each span of so many seconds
    #[bpaf(argument("SECONDS"))]
    every: Option<u32>,
    /// Logs of gateway hosts, in any order
    #[bpaf(positional("FILE"), some("name at least one log"))]
    files: Vec<PathBuf>,
}

/// Prints the tables. Files without a line of a host are told, and the others are used; the answer
/// is no where there are no others.
pub fn run(arguments: &Arguments) -> Exit {
    let mut lines = Vec::new();
    for file in &arguments.files {
        match logs::read(file) {
            Ok(read) if read.is_empty() => eprintln!("{}: no log of a host", file.display()),
            Ok(read) => lines.extend(read),
            Err(reason) => eprintln!("{}: {reason}", file.display()),
        }
    }
    let table = Table::of(lines, arguments.every.unwrap_or(0));
    if arguments.json {
        println!("{:#}", table.json());
    } else {
        print!("{table}");
    }
    if table.is_empty() {
        Exit::Failure
    } else {
        Exit::Success
    }
}
