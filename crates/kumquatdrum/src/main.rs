//! The kumquatdrum command.

mod cli;
mod demo;
mod explain;
mod gateway;
mod logging;
mod logs;
mod losses;
mod replay;
mod serve;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use cli::Command;
use kumquatdrum_operator::Exit;

const HELP_COLUMNS: usize = 100;

fn main() -> ExitCode {
    // Suppresses the logs of the web framework that the daemon and the demo use.
    kumquatdrum_testing::server::discard_logs();
    let command = match cli::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return ExitCode::from(print_failure(failure).code()),
    };
    let exit = match command {
        Command::Serve { settings } => serve::run(&settings),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Losses(arguments) => losses::run(&arguments),
        Command::Gateway { settings } => gateway::run(&settings),
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Schema => print_schema(),
        Command::Check {
            settings: true,
            file,
            ..
        } => serve::check(&file),
        command => operate(command),
    };
    ExitCode::from(exit.code())
}

/// Prints help, completions or the error of a wrong command line, and returns the exit code.
fn print_failure(failure: ParseFailure) -> Exit {
    failure.print_message(HELP_COLUMNS);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Success,
        ParseFailure::Stderr(_) => Exit::Usage,
    }
}

fn print_schema() -> Exit {
    println!("{:#}", kumquatdrum_declaration::schema());
    Exit::Success
}

fn operate(command: Command) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(cli::operate(command)),
        Err(reason) => {
            eprintln!("can't start the runtime: {reason}");
            Exit::Usage
        }
    }
}
