//! `status`: prints the state of the whole system as known to one host.

use std::io::{self, Write};

use kumquatdrum_setup::control::{Condition, HostStatus, Replica, Status};

use super::{Exit, Failure, describe_standing, finish, new_client, print_json};
use crate::client::Connection;

/// Options of `status`.
#[derive(Debug, Clone)]
pub struct Options {
    /// Hosts and key. The view of the first host that responds is shown.
    pub connection: Connection,
    /// Whether to print JSON.
    pub json: bool,
}

/// Prints a host's view of the system.
pub async fn run(options: &Options, out: &mut (dyn Write + Send)) -> Exit {
    let result = status(options, out).await;
    finish(result, options.json, out)
}

async fn status(options: &Options, out: &mut (dyn Write + Send)) -> Result<Exit, Failure> {
    let status = new_client(&options.connection)?.status().await?;
    if options.json {
        print_json(out, &status)?;
    } else {
        print(out, &status)?;
    }
    Ok(Exit::Success)
}

fn print(out: &mut dyn Write, status: &Status) -> io::Result<()> {
    writeln!(out, "as seen by {} ({})", status.host, status.data_centre)?;
    writeln!(
        out,
        "version {} sha256 {}, {}",
        status.version,
        status.digest,
        describe_standing(status.standing)
    )?;
    match &status.leader {
        Some(leader) => writeln!(out, "control leader {leader}")?,
        None => writeln!(out, "no control leader known")?,
    }
    for data_centre in &status.cut_off {
        writeln!(out, "cut off: {data_centre}")?;
    }
    writeln!(out, "hosts:")?;
    status
        .hosts
        .iter()
        .try_for_each(|host| print_host(out, host))?;
    writeln!(out, "endpoints:")?;
    status.endpoints.iter().try_for_each(|endpoint| {
        let condition = condition_name(endpoint.condition);
        let name = &endpoint.endpoint;
        let data_centre = &endpoint.data_centre;
        writeln!(
            out,
            "  {name}  {data_centre}  {}  {condition}",
            endpoint.service
        )
    })
}

fn print_host(out: &mut dyn Write, host: &HostStatus) -> io::Result<()> {
    let version = host
        .version
        .map_or_else(|| "?".to_owned(), |version| version.to_string());
    let reachability = if host.reachable {
        "reachable"
    } else {
        "unreachable"
    };
    let replica = match host.replica {
        Replica::None => "",
        Replica::Learner => "  control replica, catching up",
        Replica::Voter => "  control replica",
    };
    writeln!(
        out,
        "  {}  {}  version {version}  {reachability}{replica}",
        host.host, host.data_centre
    )
}

fn condition_name(condition: Condition) -> &'static str {
    match condition {
        Condition::Alive => "alive",
        Condition::Suspect => "suspect",
        Condition::Leaving => "leaving",
        Condition::Gone => "gone",
        Condition::Expected => "expected",
    }
}
