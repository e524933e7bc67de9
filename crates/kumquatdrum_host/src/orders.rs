//! Gives orders to engines while this host's replica leads: carries messages to and from the
//! reconciler, which decides.

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

use crate::control::Handle;
use crate::members::Members;
use crate::shell::Shell;

/// How often leadership, engines and the declaration are looked at.
const ROUND: Duration = Duration::from_millis(100);

struct Orders {
    replica: Handle,
    shell: Arc<Shell>,
    members: Arc<Members>,
    core: Reconciler,
    declared: Version,
    targets: IndexMap<EndpointId, Target>,
    under_way: JoinSet<Input>,
}

/// Gives orders until `stopped` resolves; a host without a replica never leads.
pub async fn run(
    shell: Arc<Shell>,
    members: Arc<Members>,
    replica: Option<Handle>,
    mut stopped: watch::Receiver<bool>,
) {
    let Some(replica) = replica else {
        return;
    };
    let settings = Settings {
        loads_per_minute: shell.settings.limits.loads_per_minute,
        ..Settings::default()
    };
    let mut orders = Orders {
        replica,
        shell,
        members,
        core: Reconciler::new(settings),
        declared: Version(0),
        targets: IndexMap::new(),
        under_way: JoinSet::new(),
    };
    let mut round = tokio::time::interval(ROUND);
    loop {
        tokio::select! {
            _ = round.tick() => orders.round().await,
            Some(Ok(input)) = orders.under_way.join_next() => orders.step(input),
            () = async { stopped.wait_for(|stopped| *stopped).await.ok(); } => break,
        }
    }
    orders.under_way.shutdown().await;
}

impl Orders {
    async fn round(&mut self) {
        let leadership = self.replica.leadership().await;
        if leadership.is_some() {
            self.follow_declaration();
            self.follow_engines();
        }
        self.step(Input::Leadership(leadership));
    }

    fn follow_declaration(&mut self) {
        let current = self.shell.in_force.current();
        let newer = current.filter(|current| current.offer.version > self.declared);
        if let Some(current) = newer {
            self.declared = current.offer.version;
            let declaration = current.index.declaration().clone();
            self.step(Input::Declared(self.declared, declaration));
        }
    }

    fn follow_engines(&mut self) {
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
        for output in self.core.step(self.shell.clock.now(), input) {
            match output {
                Output::Send(order) => self.send(order),
                Output::Probe(endpoint) => self.ask(endpoint),
                Output::Audit(record) => self.log(&record),
                // Leadership is told every round, which is soon enough.
                Output::Wake(_) => {}
            }
        }
    }

    fn send(&mut self, order: Order) {
        let Some(target) = self.targets.get(&order.endpoint) else {
            let answer = kumquatdrum_orders::Answer::NotSent;
            self.under_way
                .spawn(std::future::ready(Input::Answered(order.id, answer)));
            return;
        };
        let clock = self.shell.clock;
        let id = order.id;
        let checked = order.clone();
        let check = Box::new(move || checked.can_be_sent(clock.now()));
        let answer = self.shell.engine.order(target, &order, check);
        self.under_way
            .spawn(async move { Input::Answered(id, answer.await) });
    }

    fn ask(&mut self, endpoint: EndpointId) {
        let Some(target) = self.targets.get(&endpoint) else {
            self.under_way
                .spawn(std::future::ready(Input::Reported(endpoint, None)));
            return;
        };
        let report = self.shell.engine.order_report(target);
        self.under_way
            .spawn(async move { Input::Reported(endpoint, report.await.ok()) });
    }

    fn log(&self, record: &Record) {
        let order = record.order.map(|order| order.to_string());
        let order = order.unwrap_or_default();
        let event = record.event.name();
        let (endpoint, action) = (&record.endpoint, &record.action);
        let logger = &self.shell.logger;
        match &record.event {
            Event::Sent | Event::Done => info!(logger, ""; "event" => event,
                "endpoint" => %endpoint, "order" => order, "action" => %action),
            other => warn!(logger, ""; "event" => event, "endpoint" => %endpoint,
                "order" => order, "action" => %action, "reason" => other.reason()),
        }
    }
}
