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

const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    // The daemon and the demo build rocket instances, which would print lines of their own.
    kumquatdrum_testing::server::discard_logs();
    let command = match cli::command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return ExitCode::from(explain(failure).code()),
    };
    let exit = match command {
        Command::Serve { settings } => serve::run(&settings),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Losses(arguments) => losses::run(&arguments),
        Command::Gateway { settings } => gateway::run(&settings),
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Schema => schema(),
        Command::Check {
            settings: true,
            file,
            ..
        } => serve::check(&file),
        command => operate(command),
    };
    ExitCode::from(exit.code())
}

/// Help and completions are what was asked for; anything else is a wrong command line.
fn explain(failure: ParseFailure) -> Exit {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Success,
        ParseFailure::Stderr(_) => Exit::Usage,
    }
}

fn schema() -> Exit {
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
            eprintln!("the runtime can't be started: {reason}");
            Exit::Usage
        }
    }
}
