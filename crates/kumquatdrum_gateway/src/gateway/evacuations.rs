//! Adoption and distribution of evacuations.

use std::sync::Arc;
use std::time::Duration;

use futures::stream::FuturesUnordered;
use futures::{Stream, StreamExt};
use kumquatdrum_peer::Channel;
use kumquatdrum_process::clock::unix_ms;
use kumquatdrum_routes::Evacuations;
use kumquatdrum_types::HostId;
use slog::info;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout, timeout_at};

use super::Gateway;
use crate::distribution::assigned_hosts;
use crate::evacuations::Report;
use crate::message::{Host, Request, Response, Selection};
use crate::suspension::TICK_INTERVAL;

/// The time after the end of an evacuation in which endpoints may still be cold because of it. A host
/// that starts or resumes learns of all earlier evacuations.
const MAX_COLD_MS: u64 = 600_000;
/// The timeout for a push of the state. A host that misses it learns of the version by a hello.
const PUSH_TIMEOUT: Duration = Duration::from_millis(700);
/// The time for which an order waits for all hosts to have the new state. Together with the commit
/// it stays within the second after which operators repeat an order.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);
/// The time for which an order waits for a majority of the control hosts to have stored the new
/// state.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for what hosts have reported to another control host.
pub(crate) const PROGRESS_TIMEOUT: Duration = Duration::from_millis(200);
/// The timeout for hellos of a resumed host, which delays requests for as long.
const RESUMED_HELLO_TIMEOUT: Duration = Duration::from_millis(500);

impl Gateway {
    /// Adopts a state if it is newer, and on control hosts pushes it to this host's share of the
    /// hosts. The leader also pushes it to all control hosts, since not all of them have a voting
    /// replica.
    pub(crate) fn adopt_evacuations(
        self: &Arc<Self>,
        newer: &Evacuations,
        from: &str,
        is_leader: bool,
    ) {
        let Some(before) = self.evacuations.adopt(newer, from) else {
            return;
        };
        for (data_centre, ended_ms) in newer.ended_since(&before) {
            if unix_ms().saturating_sub(ended_ms) < MAX_COLD_MS {
                self.pool.expect_cold(data_centre);
            }
        }
        self.pool.refresh();
        let local = self.hosts.local();
        if !local.is_control {
            return;
        }
        let assigned = assigned_hosts(&local.id, &self.hosts.live_hosts(), is_leader);
        let gateway = self.clone();
        self.spawn(async move {
            // A hung disk must not stop the distribution.
            let store = gateway.evacuation_cache.store(&gateway.evacuations);
            tokio::join!(store, gateway.push_evacuations(assigned).count());
        });
    }

    /// Adopts a state that another host has pushed, and acknowledges it. A control host stores it first.
    pub(crate) async fn take_evacuations(
        self: &Arc<Self>,
        newer: &Evacuations,
        from: &str,
    ) -> Response {
        self.adopt_evacuations(newer, from, false);
        let store = self.evacuation_cache.store(&self.evacuations);
        match timeout(STORE_TIMEOUT, store).await {
            Ok(true) => Response::Taken,
            Ok(false) | Err(_) => Response::Unavailable,
        }
    }

    /// Pushes the newest state to the live hosts that may lack it, and to all live control hosts, which
    /// may not have stored it. Waits for a short time until they have it. Returns whether a majority of the control hosts has stored it, so that a restart of all hosts
    /// does not lose sight of it until an election. `left` is the time that is left for this.
    pub(crate) async fn confirm_evacuations(self: &Arc<Self>, left: Duration) -> bool {
        let live = self.hosts.live_hosts();
        let control = live.iter().filter(|host| host.is_control);
        let control: Vec<HostId> = control.map(|host| host.id.clone()).collect();
        let version = self.evacuations.current().version();
        let may_lack =
            |host: &Host| host.is_control || self.evacuations.version_of(&host.id) < Some(version);
        let targets = live.into_iter().filter(may_lack);
        let hosts: Vec<HostId> = targets.map(|host| host.id).collect();
        let started = Instant::now();
        let store = async {
            let local = self.hosts.local();
            let is_stored = self.evacuation_cache.store(&self.evacuations).await;
            let counts = is_stored && local.is_control && self.evacuation_cache.has_file();
            counts.then_some(local.id)
        };
        let pushes = futures::stream::select(
            futures::stream::once(store),
            self.push_evacuations(hosts.clone()),
        );
        let mut pushes = std::pin::pin!(pushes);
        let majority = self.hosts.control_majority();
        let (mut told, mut stored) = (0, 0);
        loop {
            let limit = if stored < majority {
                STORE_TIMEOUT
            } else {
                CONFIRM_TIMEOUT
            };
            match timeout_at(started + limit.min(left), pushes.next()).await {
                Ok(Some(Some(host))) => {
                    let is_local = !hosts.contains(&host);
                    told += usize::from(!is_local);
                    stored += usize::from(is_local || control.contains(&host));
                }
                Ok(Some(None)) => {}
                Ok(None) | Err(_) => break,
            }
        }
        info!(self.logger, "evacuations_confirmed"; "event" => "evacuations_confirmed",
            "version" => version, "told" => told, "of" => hosts.len(), "stored" => stored,
            "majority" => majority, "ms" => started.elapsed().as_millis() as u64);
        stored >= majority
    }

    /// Pushes the newest state to hosts. Returns each that has acknowledged it, or `None` for one that
    /// has not.
    fn push_evacuations(&self, hosts: Vec<HostId>) -> impl Stream<Item = Option<HostId>> {
        let current = self.evacuations.current();
        let version = current.version();
        let request = Request::Evacuations((*current).clone());
        let push = async move |host: HostId, request: &Request| {
            let channel = Channel::Membership;
            let response = self.send_request(&host, channel, request, PUSH_TIMEOUT);
            matches!(response.await, Some(Response::Taken)).then(|| {
                self.evacuations.record_version(&host, version);
                host
            })
        };
        let request = Arc::new(request);
        let pushes = hosts.into_iter().map(move |host| {
            let request = request.clone();
            async move { push(host, &request).await }
        });
        pushes.collect::<FuturesUnordered<_>>()
    }

    /// Collects what hosts that report to other control hosts, and not to this one, have reported.
    pub(crate) async fn collect_progress(self: &Arc<Self>) {
        let requests = self.hosts.control_hosts().into_iter().map(|host| {
            let gateway = self.clone();
            async move {
                let (channel, request) = (Channel::Membership, Request::ReadProgress);
                let response = gateway.send_request(&host, channel, &request, PROGRESS_TIMEOUT);
                if let Some(Response::Progress(mut progress)) = response.await {
                    progress.retain(|it| !gateway.hosts.hears(&it.host));
                    gateway.evacuations.merge_progress(progress);
                }
            }
        });
        requests.collect::<FuturesUnordered<_>>().count().await;
    }

    /// Records another host's report, and adopts the state in it if it is newer.
    pub(super) fn observe_evacuations(self: &Arc<Self>, host: &HostId, report: &Report) {
        self.evacuations.record_report(host, report);
        if let Some(newer) = &report.newest {
            self.adopt_evacuations(newer, host.as_str(), false);
        }
    }

    /// Detects suspensions of this host, and then asks control hosts for news at once.
    pub(super) async fn watch_suspension(self: Arc<Self>) {
        let suspension = self.evacuations.suspension();
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = suspension.wait_for_resumption() => {}
                _ = ticks.tick() => {
                    suspension.tick();
                    continue;
                }
            }
            info!(self.logger, "resumed"; "event" => "resumed",
                "version" => self.evacuations.current().version());
            let mut hellos = JoinSet::new();
            for target in self.hosts.contact_targets() {
                let gateway = self.clone();
                hellos.spawn(async move {
                    let hosts = Selection::Nothing;
                    let endpoints = gateway.endpoints.selection(&target.host, true);
                    let hello = gateway.exchange_hello(&target.host, hosts, endpoints);
                    timeout(RESUMED_HELLO_TIMEOUT, hello).await
                });
            }
            while hellos.join_next().await.is_some() {}
        }
    }
}
