//! The kumquatdrum command.

mod cli;
mod exit;
mod logging;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::command().run() {
        cli::Command::Serve { settings } => serve::run(&settings),
    }
}
