//! Replays a trace against a running system.

use std::fs;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use indexmap::IndexMap;
use kumquatdrum_operator::Exit;
use kumquatdrum_replay::prompt::Size;
use kumquatdrum_replay::replay::{self, Baseline, Options};
use kumquatdrum_replay::{Entry, Report, trace};

use crate::cli::json;

/// Trace, target and output:
#[derive(Debug, Clone, Bpaf)]
pub struct Arguments {
    /// A callers' listener, such as `http://10.0.0.1:7101`; several are used in turn
    #[bpaf(
        argument::<String>("URL"),
        parse(parse_address),
        some("at least one --target is required")
    )]
    target: Vec<SocketAddr>,
    /// A JSON object that maps the key names in the trace to keys
    #[bpaf(argument("FILE"))]
    keys: PathBuf,
    /// Factor on the trace's prompt lengths
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    scale: f64,
    /// Bytes of text for each token
    #[bpaf(argument("BYTES"), fallback(4.0))]
    bytes_per_token: f64,
    /// Send this many short requests to the idle system first, and compare with their median
    #[bpaf(argument("COUNT"), optional)]
    probes: Option<u32>,
    /// Control address of a stand-in endpoint, whose counters are compared with the answers
    #[bpaf(argument("ADDRESS"), many)]
    control: Vec<SocketAddr>,
    #[bpaf(external)]
    json: bool,
    /// The trace, in JSON Lines
    #[bpaf(positional("TRACE"))]
    trace: PathBuf,
}

fn parse_address(url: String) -> Result<SocketAddr, AddrParseError> {
    let address = url.strip_prefix("http://").unwrap_or(&url);
    address.trim_end_matches('/').parse()
}

/// Replays a trace, prints the report and returns [`Exit::Failure`] if one of its checks failed.
pub async fn run(arguments: &Arguments) -> Exit {
    let (entries, keys) = match (read_trace(&arguments.trace), read_keys(&arguments.keys)) {
        (Ok(entries), Ok(keys)) => (entries, keys),
        (entries, keys) => {
            let findings = entries.err().into_iter().flatten().chain(keys.err());
            findings.for_each(|line| eprintln!("{line}"));
            return Exit::Usage;
        }
    };
    let options = Options {
        targets: arguments.target.clone(),
        keys,
        size: Size {
            scale: arguments.scale,
            bytes_per_token: arguments.bytes_per_token,
        },
        controls: arguments.control.clone(),
        baseline: arguments.probes.map_or(Baseline::None, Baseline::IdleProbe),
        ..Options::default()
    };
    replay_and_report(&entries, &options, arguments.json).await
}

/// Replays entries, prints the report or the error, and returns the exit code.
pub async fn replay_and_report(entries: &[Entry], options: &Options, json: bool) -> Exit {
    match replay::run(entries, options).await {
        Ok(report) => {
            print(&report, json);
            if report.passed() {
                Exit::Success
            } else {
                Exit::Failure
            }
        }
        Err(reason @ (replay::Error::Counters(_) | replay::Error::Client(_))) => {
            eprintln!("{reason}");
            Exit::Unknown
        }
        Err(reason) => {
            eprintln!("{reason}");
            Exit::Usage
        }
    }
}

fn print(report: &Report, json: bool) {
    if json {
        let value = serde_json::to_value(report).unwrap_or_default();
        println!("{value:#}");
    } else {
        println!("{report}");
    }
}

fn read_trace(file: &Path) -> Result<Vec<Entry>, Vec<String>> {
    let name = file.display();
    let text = fs::read_to_string(file).map_err(|reason| vec![format!("{name}: {reason}")])?;
    trace::read(&text).map_err(|error| {
        let findings = error.findings.iter();
        findings
            .map(|finding| format!("{name}: {finding}"))
            .collect()
    })
}

fn read_keys(file: &Path) -> Result<IndexMap<String, String>, String> {
    let name = file.display();
    let text = fs::read_to_string(file).map_err(|reason| format!("{name}: {reason}"))?;
    serde_json::from_str(&text).map_err(|reason| format!("{name}: {reason}"))
}
