//! The start of a replica from its data folder.

use std::path::Path;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_consensus::following::Monitor;
use kumquatdrum_consensus::replacement::{self, Planner};
use kumquatdrum_consensus::tolerance::Gate;
use kumquatdrum_consensus::{Incarnation, Member, Node, StoredState};
use kumquatdrum_disk::{Folder, Store as _, WriteCallback, Writer};
use kumquatdrum_process::random;
use kumquatdrum_routes::Register;
use kumquatdrum_types::{HostId, Moment};
use slog::info;

use super::availability::Failure;
use super::{
    CHANGE_TIMEOUT, DISCOVERY_TIME, Dependencies, ELECTION_TIMEOUT, Event, FORMATION_WAIT, Handle,
    PERSIST_TIMEOUT, RETAINED_ENTRIES, Replica, SNAPSHOT_BYTES, SNAPSHOT_ENTRIES, VOTER_LOST_AFTER,
};
use crate::settings::Settings;

/// Opens the data folder and starts its replica.
pub(super) async fn open(
    dependencies: &Arc<Dependencies>,
    handle: &Handle,
    generation: u64,
    path: &Path,
) -> Result<Replica, Failure> {
    let (host, path) = (dependencies.settings.host(), path.to_owned());
    let seeds = dependencies.settings.seed_hosts();
    let replica = dependencies.settings.replica.as_ref();
    let can_form_cluster = replica.is_some_and(|replica| replica.found);
    let incarnation = Incarnation(random::number());
    let opening = tokio::task::spawn_blocking(move || {
        let folder = Folder::open(path, &host, incarnation)?;
        let stored = folder.load()?;
        let initial_hosts = if stored.is_fresh() {
            find_initial_hosts(&folder, can_form_cluster, seeds)?
        } else {
            Vec::new()
        };
        Ok::<_, kumquatdrum_disk::Error>((folder, stored, initial_hosts))
    });
    let opened = opening.await.map_err(|error| Failure {
        kind: "panic",
        reason: error.to_string(),
    })?;
    let (folder, stored, initial_hosts) = opened?;
    start(
        dependencies,
        handle,
        generation,
        folder,
        stored,
        initial_hosts,
    )
}

/// Returns the hosts with which a fresh replica may form a cluster. They are kept on the disk, as the
/// permission is given at the first start alone, and the process may end before the cluster has formed.
fn find_initial_hosts(
    folder: &Folder,
    can_form_cluster: bool,
    seeds: Vec<HostId>,
) -> Result<Vec<HostId>, kumquatdrum_disk::Error> {
    match folder.initial_hosts()? {
        Some(hosts) => Ok(hosts),
        None if can_form_cluster => {
            folder.store_initial_hosts(&seeds)?;
            Ok(seeds)
        }
        None => Ok(Vec::new()),
    }
}

/// Starts the replica whose state a data folder holds.
fn start(
    dependencies: &Arc<Dependencies>,
    handle: &Handle,
    generation: u64,
    folder: Folder,
    stored: StoredState,
    initial_hosts: Vec<HostId>,
) -> Result<Replica, Failure> {
    let member = Member {
        id: folder.identity().replica(),
        data_centre: dependencies.settings.data_centre.clone(),
    };
    let snapshot = stored.snapshot.as_ref().map(|snapshot| snapshot.index.0);
    let origin = folder.origin();
    let events = handle.events.clone();
    let report: WriteCallback = Box::new(move |written| {
        let written = written.map_err(|error| error.to_string());
        events.send(Event::Written(generation, written)).is_ok()
    });
    let writer = Writer::start(Box::new(folder), report).map_err(|error| Failure {
        kind: "thread",
        reason: error.to_string(),
    })?;
    let downtime = dependencies.availability.record_start();
    info!(dependencies.logger, "disk_opened"; "event" => "disk_opened", "replica" => %member.id,
        "origin" => origin.as_str(), "down_ms" => downtime.as_millis() as u64,
        "entries" => stored.entries.len(), "term" => %stored.hard_state.term,
        "snapshot" => snapshot,
        "cluster" => stored.hard_state.cluster.map(|cluster| cluster.0));
    dependencies.hosts.set_replica(Some(member.clone()));
    let settings = node_settings(&dependencies.settings, member, initial_hosts);
    let now = dependencies.clock.now();
    let node = Node::new(settings, stored, now, random::number());
    let planner_settings = replacement::Settings {
        voters: 2 * dependencies.settings.lost_replicas + 1,
        lost_after: VOTER_LOST_AFTER,
    };
    Ok(Replica {
        dependencies: dependencies.clone(),
        generation,
        node,
        writer,
        register: Register::default(),
        wake_at: Moment::ZERO,
        failure: None,
        last_token: 0,
        snapshot_revision: 0,
        stale_changes: IndexSet::new(),
        pending_proposals: IndexMap::new(),
        pending_commands: IndexMap::new(),
        pending_change: None,
        planner: Planner::new(planner_settings, now),
        monitor: Monitor::new(VOTER_LOST_AFTER),
        gate: Gate::new(dependencies.settings.lost_replicas, DISCOVERY_TIME),
        published_replicas: None,
    })
}

fn node_settings(
    settings: &Settings,
    member: Member,
    initial_hosts: Vec<HostId>,
) -> kumquatdrum_consensus::Settings {
    let mut node = kumquatdrum_consensus::Settings::new(member);
    let mut seeds = settings.seed_hosts();
    seeds.retain(|seed| !initial_hosts.contains(seed));
    node.additional_hosts = seeds;
    node.formation_wait = (!initial_hosts.is_empty()).then_some(FORMATION_WAIT);
    node.initial_hosts = initial_hosts;
    node.election_timeout = ELECTION_TIMEOUT;
    node.persist_timeout = PERSIST_TIMEOUT;
    node.change_timeout = CHANGE_TIMEOUT;
    node.snapshot_entries = SNAPSHOT_ENTRIES;
    node.snapshot_bytes = SNAPSHOT_BYTES;
    node.retained_entries = RETAINED_ENTRIES;
    node
}
