//! Runs the reconciler of engines while this host's replica leads.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_orders::{Event, Input, Order, Output, Reconciler, Record, Settings};
use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{EndpointId, Version};
use slog::{info, warn};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::context::Context;
use crate::control::Handle;
use crate::members::Members;

/// How often leadership, engines and the declaration are read.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

struct Runner {
    replica: Handle,
    context: Arc<Context>,
    members: Arc<Members>,
    reconciler: Reconciler,
    declared_version: Version,
    targets: IndexMap<EndpointId, Target>,
    calls: JoinSet<Input>,
}

/// Runs until `stopped` turns true. A host without a replica never leads.
pub async fn run(
    context: Arc<Context>,
    members: Arc<Members>,
    replica: Option<Handle>,
    mut stopped: watch::Receiver<bool>,
) {
    let Some(replica) = replica else {
        return;
    };
    let settings = Settings {
        loads_per_minute: context.settings.limits.loads_per_minute,
        ..Settings::default()
    };
    let mut runner = Runner {
        replica,
        context,
        members,
        reconciler: Reconciler::new(settings),
        declared_version: Version(0),
        targets: IndexMap::new(),
        calls: JoinSet::new(),
    };
    let mut interval = tokio::time::interval(UPDATE_INTERVAL);
    loop {
        tokio::select! {
            _ = interval.tick() => runner.update().await,
            Some(Ok(input)) = runner.calls.join_next() => runner.step(input),
            () = async { stopped.wait_for(|stopped| *stopped).await.ok(); } => break,
        }
    }
    runner.calls.shutdown().await;
}

impl Runner {
    async fn update(&mut self) {
        let leadership = self.replica.leadership().await;
        if leadership.is_some() {
            self.update_declaration();
            self.update_engines();
        }
        self.step(Input::Leadership(leadership));
    }

    fn update_declaration(&mut self) {
        let current = self.context.in_force.current();
        let newer = current.filter(|current| current.offer.version > self.declared_version);
        if let Some(current) = newer {
            self.declared_version = current.offer.version;
            let declaration = current.index.declaration().clone();
            self.step(Input::Declared(self.declared_version, declaration));
        }
    }

    fn update_engines(&mut self) {
        let live = self.members.live_endpoints();
        let live = live.into_iter();
        let engines = live.filter(|live| matches!(live.kind, Kind::Engine(_)));
        let mut targets = IndexMap::new();
        for engine in engines {
            let target = Target {
                endpoint: engine.endpoint.clone(),
                boot: engine.boot,
                address: engine.address,
            };
            if self.targets.get(&engine.endpoint) != Some(&target) {
                self.step(Input::Announced {
                    endpoint: engine.endpoint.clone(),
                    boot: engine.boot,
                    service: engine.service,
                });
            }
            targets.insert(engine.endpoint, target);
        }
        let gone = self.targets.keys().filter(|id| !targets.contains_key(*id));
        let gone: Vec<_> = gone.cloned().collect();
        self.targets = targets;
        for id in gone {
            self.step(Input::Gone(id));
        }
    }

    fn step(&mut self, input: Input) {
        for output in self.reconciler.step(self.context.clock.now(), input) {
            match output {
                Output::Send(order) => self.send(order),
                Output::Probe(endpoint) => self.probe(endpoint),
                Output::Audit(record) => self.log_record(&record),
                // Leadership is passed on every interval, which also triggers reconciliation.
                Output::Wake(_) => {}
            }
        }
    }

    fn send(&mut self, order: Order) {
        let Some(target) = self.targets.get(&order.endpoint) else {
            let answer = kumquatdrum_orders::Answer::NotSent;
            self.calls
                .spawn(std::future::ready(Input::Answered(order.id, answer)));
            return;
        };
        let clock = self.context.clock;
        let id = order.id;
        let checked_order = order.clone();
        let check = Box::new(move || checked_order.can_be_sent(clock.now()));
        let answer = self.context.engine.order(target, &order, check);
        self.calls
            .spawn(async move { Input::Answered(id, answer.await) });
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let Some(target) = self.targets.get(&endpoint) else {
            self.calls
                .spawn(std::future::ready(Input::Reported(endpoint, None)));
            return;
        };
        let report = self.context.engine.order_report(target);
        self.calls
            .spawn(async move { Input::Reported(endpoint, report.await.ok()) });
    }

    fn log_record(&self, record: &Record) {
        let order = record.order.map(|order| order.to_string());
        let order = order.unwrap_or_default();
        let event = record.event.name();
        let (endpoint, action) = (&record.endpoint, &record.action);
        let logger = &self.context.logger;
        match &record.event {
            Event::Sent | Event::Done => info!(logger, ""; "event" => event,
                "endpoint" => %endpoint, "order" => order, "action" => %action),
            other => warn!(logger, ""; "event" => event, "endpoint" => %endpoint,
                "order" => order, "action" => %action, "reason" => other.reason()),
        }
    }
}
