//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use kumquatdrum_operator::command::{apply, audit, check, evacuate, show, status};
use kumquatdrum_operator::{Connection, Exit};

use crate::{demo, explain, losses, replay};

/// Limit on the time that one host takes to answer an operator's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A serving layer for prompts of very different lengths
///
/// Exit codes: 0 success, 1 refused or failed, 2 usage or settings, 3 unreachable or unknown outcome.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(command), version)]
pub enum Command {
    /// Runs the daemon of one host
    ///
    /// Example: kumquatdrum serve --settings host.json
    #[bpaf(command)]
    Serve {
        /// The host's settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Runs a gateway host, which forwards any HTTP request on a declared route
    ///
    /// Example: kumquatdrum gateway --settings /etc/kumquatdrum/gateway.json
    #[bpaf(command)]
    Gateway {
        /// The host's settings file
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Checks a declaration, or with --settings a settings file; prints every finding
    ///
    /// Example: kumquatdrum check examples/toonikaart.json
    #[bpaf(command)]
    Check {
        /// The file is a host's settings file
        #[bpaf(switch)]
        settings: bool,
        #[bpaf(external)]
        json: bool,
        /// The file to check
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the JSON Schema of declarations
    #[bpaf(command)]
    Schema,
    /// Replaces the declaration in force, if that is still the version given by --base
    ///
    /// Example: kumquatdrum apply toonikaart.json --base 4 --wait 10
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        target: Target,
        /// The version in force that the file was made from; 0 for the first
        #[bpaf(argument("VERSION"))]
        base: u64,
        /// Id that identifies resends; derived from operator, base and content if absent
        #[bpaf(argument("ID"), optional)]
        apply_id: Option<String>,
        /// Wait up to this many seconds until all hosts have the version in force; report each host
        #[bpaf(argument("SECONDS"), optional)]
        wait: Option<u64>,
        #[bpaf(external)]
        json: bool,
        /// The declaration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the declaration in force, or an earlier one, byte for byte
    ///
    /// Example: kumquatdrum show --at 2026-12-02T21:30:00Z
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        target: Target,
        /// Print this version
        #[bpaf(argument("VERSION"), optional)]
        version: Option<u64>,
        /// Print the version in force at this time
        #[bpaf(argument("TIME"), optional)]
        at: Option<String>,
        #[bpaf(external)]
        json: bool,
    },
    /// Lists the audit trail and verifies its chain of digests
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        target: Target,
        /// Number of the first entry to list
        #[bpaf(argument("NUMBER"), fallback(1))]
        from: u64,
        #[bpaf(external)]
        json: bool,
    },
    /// Shows hosts, replicas, endpoints, versions in force and what is cut off
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        target: Target,
        #[bpaf(external)]
        json: bool,
    },
    /// Evacuates a data centre of a gateway: no more requests are sent to its endpoints
    ///
    /// Example: kumquatdrum evacuate start ams-1 --control 10.0.0.1:7403
    #[bpaf(command)]
    Evacuate(#[bpaf(external(evacuate_command))] EvacuateCommand),
    /// Sends a recorded trace to a running system and checks each answer
    ///
    /// Example: kumquatdrum replay trace.jsonl --target 127.0.0.1:7101 --keys keys.json
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::arguments))] replay::Arguments),
    /// Explains the outcome of one request from the logs of gateway hosts
    ///
    /// Example: kumquatdrum explain 9c41d07be2a35f68 front-1.log front-2.log
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::arguments))] explain::Arguments),
    /// Counts requests that were late, refused or cut, by cause and prompt length
    ///
    /// Example: kumquatdrum losses --every 10 front-1.log front-2.log
    #[bpaf(command)]
    Losses(#[bpaf(external(losses::arguments))] losses::Arguments),
    /// Runs three hosts and stand-in endpoints in this process, replays a trace and prints a report
    ///
    /// Example: kumquatdrum demo --mix treasury --json
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::arguments))] demo::Arguments),
}

/// Subcommands of `evacuate`.
#[derive(Debug, Clone, Bpaf)]
pub enum EvacuateCommand {
    /// Starts an evacuation; requests that run in the data centre finish there
    #[bpaf(command)]
    Start {
        #[bpaf(external)]
        gateway: Gateway,
        /// The data centre
        #[bpaf(positional("DATA-CENTRE"))]
        data_centre: String,
    },
    /// Ends an evacuation
    #[bpaf(command)]
    End {
        #[bpaf(external)]
        gateway: Gateway,
        /// The data centre
        #[bpaf(positional("DATA-CENTRE"))]
        data_centre: String,
    },
    /// Shows evacuations, requests that still run, hosts that lag behind, and who ordered what
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        gateway: Gateway,
        #[bpaf(external)]
        json: bool,
    },
}

/// Gateway hosts to connect to:
#[derive(Debug, Clone, Bpaf)]
pub struct Gateway {
    /// A control listener of a gateway, such as `http://10.0.0.1:7403`; several are tried in turn
    #[bpaf(argument("URL"), some("at least one --control is required"))]
    control: Vec<String>,
}

impl From<EvacuateCommand> for evacuate::Options {
    fn from(command: EvacuateCommand) -> Self {
        let (gateway, action, json) = match command {
            EvacuateCommand::Start {
                gateway,
                data_centre,
            } => (gateway, evacuate::Action::Start(data_centre), false),
            EvacuateCommand::End {
                gateway,
                data_centre,
            } => (gateway, evacuate::Action::End(data_centre), false),
            EvacuateCommand::Status { gateway, json } => (gateway, evacuate::Action::Status, json),
        };
        Self {
            control: gateway.control,
            action,
            json,
        }
    }
}

pub(crate) fn json() -> impl bpaf::Parser<bool> {
    bpaf::long("json").help("Print JSON").switch()
}

/// Hosts to connect to, and the operator's key:
#[derive(Debug, Clone, Bpaf)]
pub struct Target {
    /// An operators' listener, such as `http://10.0.0.1:7402`; several are tried in turn
    #[bpaf(argument("URL"), some("at least one --host is required"))]
    host: Vec<String>,
    /// The operator's key; prefer the environment variable `KUMQUATDRUM_OPERATOR_KEY`
    #[bpaf(argument("KEY"), fallback_with(key_from_environment))]
    operator_key: String,
}

/// Reads the key from the environment. With `env` of bpaf, the help would print its value.
fn key_from_environment() -> Result<String, &'static str> {
    const VARIABLE: &str = "KUMQUATDRUM_OPERATOR_KEY";
    std::env::var(VARIABLE)
        .map_err(|_| "neither --operator-key nor KUMQUATDRUM_OPERATOR_KEY is set")
}

impl From<Target> for Connection {
    fn from(target: Target) -> Self {
        Self {
            hosts: target.host,
            key: target.operator_key,
            timeout: REQUEST_TIMEOUT,
        }
    }
}

/// Runs an operator's subcommand. `main` runs the other subcommands.
pub async fn operate(command: Command) -> Exit {
    let out = &mut std::io::stdout();
    match command {
        Command::Check { file, json, .. } => check::run(&check::Options { file, json }, out),
        Command::Apply {
            target,
            base,
            apply_id,
            wait,
            json,
            file,
        } => {
            let options = apply::Options {
                connection: target.into(),
                file,
                base,
                apply_id,
                wait: wait.map(Duration::from_secs),
                json,
            };
            apply::run(&options, out).await
        }
        Command::Show {
            target,
            version,
            at,
            json,
        } => {
            let options = show::Options {
                connection: target.into(),
                version,
                at,
                json,
            };
            show::run(&options, out, &mut std::io::stderr()).await
        }
        Command::Audit { target, from, json } => {
            let options = audit::Options {
                connection: target.into(),
                from,
                json,
            };
            audit::run(&options, out).await
        }
        Command::Status { target, json } => {
            let options = status::Options {
                connection: target.into(),
                json,
            };
            status::run(&options, out).await
        }
        Command::Evacuate(command) => evacuate::run(&command.into(), out).await,
        Command::Replay(arguments) => replay::run(&arguments).await,
        Command::Demo(_)
        | Command::Explain(_)
        | Command::Gateway { .. }
        | Command::Losses(_)
        | Command::Serve { .. }
        | Command::Schema => Exit::Usage,
    }
}
