//! The kumquatdrum command.

mod cli;
mod demo;
mod logging;
mod replay;
mod serve;

use std::process::ExitCode;

use cli::Command;
use kumquatdrum_operator::Exit;

fn main() -> ExitCode {
    // The daemon and the demo build rocket instances, which would print lines of their own.
    kumquatdrum_testing::server::discard_logs();
    let exit = match cli::command().run() {
        Command::Serve { settings } => serve::run(&settings),
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

fn schema() -> Exit {
    println!("{:#}", kumquatdrum_declaration::schema());
    Exit::Done
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
