//! One request's story, put together from the logs of several hosts.

use std::path::PathBuf;

use bpaf::Bpaf;
use kumquatdrum_operator::Exit;

mod story;

use story::Story;

use crate::logs;

/// What to explain, and from which logs
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(arguments))]
pub struct Arguments {
    #[bpaf(external(crate::cli::json))]
    json: bool,
    /// The request's id, as its caller named the attempt
    #[bpaf(positional("ID"))]
    id: String,
    /// Logs of gateway hosts, in any order
    #[bpaf(positional("FILE"), some("name at least one log"))]
    files: Vec<PathBuf>,
}

/// Prints the story. The answer is no where no log knows the request.
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
    let story = Story::of(&arguments.id, lines);
    if arguments.json {
        println!("{:#}", story.json());
    } else {
        print!("{story}");
    }
    if story.is_empty() {
        Exit::Failure
    } else {
        Exit::Success
    }
}
