//! The orders' side of a stand-in engine: what it has loaded, and what it is told to load.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_orders::{Action, Adapter, Report, Role};
use kumquatdrum_types::{BootId, ModelName};
use parking_lot::Mutex;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State as Managed, get, post, routes};
use serde::Deserialize;
use serde_json::{Value, json};

use super::shared::Shared;
use super::wire::error;

/// Time between two looks at whether what ran has ended.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// How an engine takes orders.
#[derive(Debug, Clone)]
pub struct Options {
    /// The version of the weights at its start.
    pub version: String,
    /// Whether it refuses old fencing numbers.
    pub checks_fencing: bool,
    /// How long a load takes once nothing runs any more.
    pub load_time: Duration,
}

/// What is loaded, and the highest fencing number so far.
#[derive(Debug)]
pub(super) struct Orders {
    options: Options,
    boot: BootId,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fencing: u64,
    report: Report,
}

/// An order as it comes in.
#[derive(Debug, Deserialize)]
struct Order {
    fencing: u64,
    boot: BootId,
    action: Action,
}

impl Orders {
    pub(super) fn new(options: Options, boot: BootId, model: ModelName) -> Self {
        let report = Report {
            boot,
            model: Some(model),
            version: Some(options.version.clone()),
            adapters: Vec::new(),
            role: Role::Serving,
        };
        Self {
            options,
            boot,
            state: Mutex::new(State { fencing: 0, report }),
        }
    }

    pub(super) fn report(&self) -> Report {
        self.state.lock().report.clone()
    }

    /// Takes note of an order, or says why not.
    fn take(&self, order: &Order) -> Result<(), (Status, Value)> {
        let mut state = self.state.lock();
        let refuse = |code: &str, current: u64| {
            let mut body = error(code, false, "the order is refused");
            body["error"]["current"] = json!(current);
            Err((Status::Conflict, body))
        };
        if self.options.checks_fencing && order.fencing < state.fencing {
            return refuse("old_fencing", state.fencing);
        }
        state.fencing = state.fencing.max(order.fencing);
        if order.boot != self.boot {
            return refuse("another_boot", state.fencing);
        }
        if state.report.role == Role::Loading && order.action != Action::Fence {
            return refuse("loading", state.fencing);
        }
        state.obey(&order.action);
        Ok(())
    }

    fn loaded(&self, model: ModelName, version: String) {
        let report = &mut self.state.lock().report;
        report.model = Some(model);
        report.version = Some(version);
        report.role = Role::Serving;
    }
}

impl State {
    /// A load only begins here; the report shows it from now on.
    fn obey(&mut self, action: &Action) {
        let report = &mut self.report;
        let adapters = &mut report.adapters;
        match action {
            Action::Fence => {}
            Action::LoadModel { .. } => {
                adapters.clear();
                report.role = Role::Loading;
            }
            Action::LoadAdapter(adapter) => replace(adapters, adapter),
            Action::UnloadAdapter { name } => adapters.retain(|held| held.name != *name),
            Action::ChangeRole { role } => report.role = *role,
        }
    }
}

fn replace(adapters: &mut Vec<Adapter>, adapter: &Adapter) {
    adapters.retain(|held| held.name != adapter.name);
    adapters.push(adapter.clone());
}

/// Mounts the orders' side of the protocol.
pub(super) fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    rocket.mount("/v1/orders", routes![order, state])
}

#[post("/", data = "<order>")]
fn order(order: Json<Order>, engine: &Managed<Arc<Shared>>) -> (Status, Json<Value>) {
    let Some(orders) = &engine.orders else {
        return unsupported();
    };
    let order = order.into_inner();
    if let Err((status, body)) = orders.take(&order) {
        return (status, Json(body));
    }
    if let Action::LoadModel { model, version } = order.action {
        tokio::spawn(load(Arc::clone(engine), model, version));
    }
    (Status::Accepted, Json(json!({"accepted": true})))
}

#[get("/state")]
fn state(engine: &Managed<Arc<Shared>>) -> (Status, Json<Value>) {
    match &engine.orders {
        Some(orders) => (Status::Ok, Json(json!(orders.report()))),
        None => unsupported(),
    }
}

fn unsupported() -> (Status, Json<Value>) {
    let body = error("not_found", false, "this engine takes no orders");
    (Status::NotFound, Json(body))
}

/// Lets what runs end, then loads.
async fn load(engine: Arc<Shared>, model: ModelName, version: String) {
    let Some(orders) = &engine.orders else {
        return;
    };
    let mut dead = engine.switch.gate();
    let loading = async {
        while !engine.with(|model| model.is_idle()) {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        tokio::time::sleep(orders.options.load_time).await;
        orders.loaded(model, version);
    };
    tokio::select! {
        () = dead.dead() => {}
        () = loading => {}
    }
}
