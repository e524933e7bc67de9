//! Explains the outcome of one request from the logs of several hosts.

use std::path::PathBuf;

use bpaf::Bpaf;
use kumquatdrum_operator::Exit;

mod timeline;

use timeline::Timeline;

use crate::logs;

/// Request and logs:
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(arguments))]
pub struct Arguments {
    #[bpaf(external(crate::cli::json))]
    json: bool,
    /// The request's id: the attempt id that its caller sent
    #[bpaf(positional("ID"))]
    id: String,
    /// Logs of gateway hosts, in any order
    #[bpaf(positional("FILE"), some("at least one log is required"))]
    files: Vec<PathBuf>,
}

/// Prints the request's timeline and returns [`Exit::Failure`] if no log contains the request.
pub fn run(arguments: &Arguments) -> Exit {
    let mut lines = Vec::new();
    for file in &arguments.files {
        match logs::read(file) {
            Ok(read) => lines.extend(read),
            Err(reason) => {
                eprintln!("{}: {reason}", file.display());
                return Exit::Usage;
            }
        }
    }
    let timeline = Timeline::from_lines(&arguments.id, lines);
    if arguments.json {
        println!("{:#}", timeline.to_json());
    } else {
        print!("{timeline}");
    }
    if timeline.is_empty() {
        Exit::Failure
    } else {
        Exit::Success
    }
}
