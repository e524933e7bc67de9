//! The command line.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use kumquatdrum_operator::command::{apply, audit, check, show, status};
use kumquatdrum_operator::{Connection, Exit};

use crate::{demo, explain, losses, replay};

/// How long one host may take to answer an operator.
const ANSWER: Duration = Duration::from_secs(10);

/// A serving layer for prompts of very unlike lengths
///
/// Exit codes: 0 done, 1 the answer is no, 2 usage or settings, 3 unreachable or unknown outcome.
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
    /// Runs a gateway host, which passes any HTTP request of a declared route on
    ///
    /// Example: kumquatdrum gateway --settings /etc/kumquatdrum/gateway.json
    #[bpaf(command)]
    Gateway {
        /// The host's settings
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
    /// Puts a whole declaration in force over the version that it was made from
    ///
    /// Example: kumquatdrum apply toonikaart.json --base 4 --wait 10
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        asked: Asked,
        /// The version in force that the file was made from; 0 for the first
        #[bpaf(argument("VERSION"))]
        base: u64,
        /// An id to know a resend by; derived from operator, base and content if absent
        #[bpaf(argument("ID"), optional)]
        apply_id: Option<String>,
        /// Wait up to so many seconds until it is in force everywhere, host by host
        #[bpaf(argument("SECONDS"), optional)]
        wait: Option<u64>,
        #[bpaf(external)]
        json: bool,
        /// The declaration
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Prints the declaration in force, or one that was, byte for byte
    ///
    /// Example: kumquatdrum show --at 2026-12-02T21:30:00Z
    #[bpaf(command)]
    Show {
        #[bpaf(external)]
        asked: Asked,
        /// This version
        #[bpaf(argument("VERSION"), optional)]
        version: Option<u64>,
        /// The one in force at this time
        #[bpaf(argument("TIME"), optional)]
        at: Option<String>,
        #[bpaf(external)]
        json: bool,
    },
    /// Lists the audit trail and verifies its chain of digests
    #[bpaf(command)]
    Audit {
        #[bpaf(external)]
        asked: Asked,
        /// The first entry
        #[bpaf(argument("NUMBER"), fallback(1))]
        from: u64,
        #[bpaf(external)]
        json: bool,
    },
    /// Shows hosts, replicas, endpoints, versions in force and what is cut off
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        asked: Asked,
        #[bpaf(external)]
        json: bool,
    },
    /// Sends a recorded trace to a running system and judges each answer
    ///
    /// Example: kumquatdrum replay trace.jsonl --target 127.0.0.1:7101 --keys keys.json
    #[bpaf(command)]
    Replay(#[bpaf(external(replay::arguments))] replay::Arguments),
    /// Tells what became of one request, and why, from the logs of gateway hosts
    ///
    /// Example: kumquatdrum explain 9c41d07be2a35f68 front-1.log front-2.log
    #[bpaf(command)]
    Explain(#[bpaf(external(explain::arguments))] explain::Arguments),
    /// Counts requests that were late, refused or cut, by reason and length of the prompt
    ///
    /// Example: kumquatdrum losses --every 10 front-1.log front-2.log
    #[bpaf(command)]
    Losses(#[bpaf(external(losses::arguments))] losses::Arguments),
    /// Runs three hosts and small stand-in endpoints in this process, replays a trace and reports
    ///
    /// Example: kumquatdrum demo --mix treasury --json
    #[bpaf(command)]
    Demo(#[bpaf(external(demo::arguments))] demo::Arguments),
}

pub(crate) fn json() -> impl bpaf::Parser<bool> {
    bpaf::long("json").help("Print JSON").switch()
}

/// Whom to ask.
#[derive(Debug, Clone, Bpaf)]
pub struct Asked {
    /// An operators' listener, such as `http://10.0.0.1:7402`; several are tried in turn
    #[bpaf(argument("URL"), some("at least one --host is required"))]
    host: Vec<String>,
    /// The operator's key; better in the environment, as `KUMQUATDRUM_OPERATOR_KEY`
    #[bpaf(argument("KEY"), fallback_with(key_from_environment))]
    operator_key: String,
}

/// Read here, as the help would print the value of a variable that it knows.
fn key_from_environment() -> Result<String, &'static str> {
    const VARIABLE: &str = "KUMQUATDRUM_OPERATOR_KEY";
    std::env::var(VARIABLE)
        .map_err(|_| "neither --operator-key nor KUMQUATDRUM_OPERATOR_KEY is set")
}

impl From<Asked> for Connection {
    fn from(asked: Asked) -> Self {
        Self {
            hosts: asked.host,
            key: asked.operator_key,
            timeout: ANSWER,
        }
    }
}

/// Runs a subcommand of operators.
pub async fn operate(command: Command) -> Exit {
    let out = &mut std::io::stdout();
    match command {
        Command::Check { file, json, .. } => check::run(&check::Options { file, json }, out),
        Command::Apply {
            asked,
            base,
            apply_id,
            wait,
            json,
            file,
        } => {
            let options = apply::Options {
                connection: asked.into(),
                file,
                base,
                apply_id,
                wait: wait.map(Duration::from_secs),
                json,
            };
            apply::run(&options, out).await
        }
        Command::Show {
            asked,
            version,
            at,
            json,
        } => {
            let options = show::Options {
                connection: asked.into(),
                version,
                at,
                json,
            };
            show::run(&options, out, &mut std::io::stderr()).await
        }
        Command::Audit { asked, from, json } => {
            let options = audit::Options {
                connection: asked.into(),
                from,
                json,
            };
            audit::run(&options, out).await
        }
        Command::Status { asked, json } => {
            let options = status::Options {
                connection: asked.into(),
                json,
            };
            status::run(&options, out).await
        }
        Command::Replay(arguments) => replay::run(&arguments).await,
        Command::Demo(_)
        | Command::Explain(_)
        | Command::Gateway { .. }
        | Command::Losses(_)
        | Command::Serve { .. }
        | Command::Schema => Exit::Usage,
    }
}
