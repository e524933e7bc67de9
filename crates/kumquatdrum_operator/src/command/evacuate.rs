//! `evacuate`: starts or ends the evacuation of a data centre at a gateway, and prints the status.

use std::io::{self, Write};
use std::time::Duration;

use reqwest::{Client, Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::{Exit, Failure, finish, print_json};
use crate::rfc3339;

/// The time after which an order without a response is repeated.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of times that an order is sent. Together they cover the loss of the leader.
const MAX_ORDERS: usize = 6;
/// The pause before an order is repeated after an error.
const REPEAT_DELAY: Duration = Duration::from_millis(300);
/// The timeout for a status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of audit entries that are printed without JSON.
const PRINTED_ENTRIES: usize = 10;

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Starts the evacuation of a data centre.
    Start(String),
    /// Ends the evacuation of a data centre.
    End(String),
    /// Prints the status.
    Status,
}

/// Options of `evacuate`.
#[derive(Debug, Clone)]
pub struct Options {
    /// The control listeners of gateway hosts. They are tried in turn.
    pub control: Vec<String>,
    /// What to do.
    pub action: Action,
    /// Whether to print the status as JSON.
    pub json: bool,
}

/// The response to an order that was refused.
#[derive(Debug, Default, Deserialize)]
struct Refusal {
    findings: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    version: u64,
    is_confirmed: bool,
    bound_ms: u64,
    data_centres: Vec<Progress>,
    hosts_behind: Vec<String>,
    audit: Vec<Entry>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Progress {
    data_centre: String,
    is_evacuated: bool,
    since_ms: u64,
    running: u32,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
    version: u64,
    data_centre: String,
    change: String,
    by: String,
    at_ms: u64,
}

/// Gives an order, or prints the status of all evacuations.
pub async fn run(options: &Options, out: &mut (dyn Write + Send)) -> Exit {
    let result = match &options.action {
        Action::Start(data_centre) => order(options, Method::PUT, data_centre, out).await,
        Action::End(data_centre) => order(options, Method::DELETE, data_centre, out).await,
        Action::Status => status(options, out).await,
    };
    finish(result, options.json, out)
}

/// Repeats an order until it is acknowledged or refused.
async fn order(
    options: &Options,
    method: Method,
    data_centre: &str,
    out: &mut (dyn Write + Send),
) -> Result<Exit, Failure> {
    let client = Client::new();
    let mut last = "no control host".to_owned();
    for control in options.control.iter().cycle().take(MAX_ORDERS) {
        let url = format!("{}/{data_centre}", url(control));
        let request = client.request(method.clone(), url).timeout(ORDER_TIMEOUT);
        match request.send().await {
            Ok(response) if response.status() == StatusCode::OK => {
                writeln!(out, "acknowledged")?;
                return Ok(Exit::Success);
            }
            Ok(response) if response.status().is_client_error() => {
                let status = response.status();
                let refusal: Refusal = response.json().await.unwrap_or_default();
                let reason = match refusal.findings.as_slice() {
                    [] => status.to_string(),
                    findings => findings.join(", "),
                };
                return Err(Failure::Refused(reason));
            }
            Ok(response) => last = format!("{control}: {}", response.status()),
            Err(error) => last = format!("{control}: {error}"),
        }
        tokio::time::sleep(REPEAT_DELAY).await;
    }
    Err(Failure::Unanswered(format!(
        "the order was not acknowledged, but may take effect ({last})"
    )))
}

async fn status(options: &Options, out: &mut (dyn Write + Send)) -> Result<Exit, Failure> {
    let client = Client::new();
    let mut last = "no control host".to_owned();
    for control in &options.control {
        let response = client
            .get(url(control))
            .timeout(STATUS_TIMEOUT)
            .send()
            .await;
        let status = match response.and_then(reqwest::Response::error_for_status) {
            Ok(response) => response.json::<Status>().await,
            Err(error) => Err(error),
        };
        match status {
            Ok(status) if options.json => print_json(out, &status)?,
            Ok(status) => print(out, &status)?,
            Err(error) => {
                last = error.to_string();
                continue;
            }
        }
        return Ok(Exit::Success);
    }
    Err(Failure::Unanswered(last))
}

/// Returns the URL of the evacuations at a control listener, whose scheme may be missing.
fn url(control: &str) -> String {
    let control = control.trim_end_matches('/');
    let scheme = if control.contains("://") {
        ""
    } else {
        "http://"
    };
    format!("{scheme}{control}/evacuations")
}

fn print(out: &mut dyn Write, status: &Status) -> io::Result<()> {
    let standing = if status.is_confirmed {
        "confirmed"
    } else {
        "last known, not confirmed by a majority"
    };
    writeln!(out, "version {}, {standing}", status.version)?;
    for progress in &status.data_centres {
        let state = if progress.is_evacuated {
            "evacuated"
        } else {
            "in use"
        };
        let since = rfc3339::format(progress.since_ms);
        writeln!(
            out,
            "  {}  {state} since {since}, {} requests run there",
            progress.data_centre, progress.running
        )?;
    }
    for host in &status.hosts_behind {
        writeln!(out, "not known to have this version: {host}")?;
    }
    for entry in status.audit.iter().rev().take(PRINTED_ENTRIES) {
        let at = rfc3339::format(entry.at_ms);
        writeln!(
            out,
            "{at}  {} {} by {}",
            entry.change, entry.data_centre, entry.by
        )?;
    }
    Ok(())
}
