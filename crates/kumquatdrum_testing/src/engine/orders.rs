//! Executes the orders that a host sends to an engine, such as loading a model or an adapter.

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

/// Time between two checks whether the running requests have ended.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How an engine executes orders.
#[derive(Debug, Clone)]
pub struct Options {
    /// Version of the weights loaded at startup.
    pub version: String,
    /// Whether orders with a lower fencing token than the highest one seen are refused.
    pub checks_fencing: bool,
    /// Duration of a load, after the running requests have ended.
    pub load_time: Duration,
}

/// Order state of an engine.
#[derive(Debug)]
pub(super) struct Orders {
    options: Options,
    boot: BootId,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Highest fencing token seen.
    fencing: u64,
    report: Report,
}

/// Body of an order request.
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

    /// Applies an order, or returns the response that refuses it.
    fn accept(&self, order: &Order) -> Result<(), (Status, Value)> {
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
        state.apply(&order.action);
        Ok(())
    }

    fn finish_load(&self, model: ModelName, version: String) {
        let report = &mut self.state.lock().report;
        report.model = Some(model);
        report.version = Some(version);
        report.role = Role::Serving;
    }
}

impl State {
    /// Applies an action to the report; `LoadModel` only marks the load as started.
    fn apply(&mut self, action: &Action) {
        let report = &mut self.report;
        let adapters = &mut report.adapters;
        match action {
            Action::Fence => {}
            Action::LoadModel { .. } => {
                adapters.clear();
                report.role = Role::Loading;
            }
            Action::LoadAdapter(adapter) => replace_adapter(adapters, adapter),
            Action::UnloadAdapter { name } => adapters.retain(|held| held.name != *name),
            Action::ChangeRole { role } => report.role = *role,
        }
    }
}

fn replace_adapter(adapters: &mut Vec<Adapter>, adapter: &Adapter) {
    adapters.retain(|held| held.name != adapter.name);
    adapters.push(adapter.clone());
}

/// Mounts the order routes of the engine protocol.
pub(super) fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    rocket.mount("/v1/orders", routes![order, state])
}

#[post("/", data = "<order>")]
fn order(order: Json<Order>, engine: &Managed<Arc<Shared>>) -> (Status, Json<Value>) {
    let Some(orders) = &engine.orders else {
        return unsupported();
    };
    let order = order.into_inner();
    if let Err((status, body)) = orders.accept(&order) {
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

/// Waits until the engine is idle, then loads the model.
async fn load(engine: Arc<Shared>, model: ModelName, version: String) {
    let Some(orders) = &engine.orders else {
        return;
    };
    let mut death = engine.switch.gate();
    let loading = async {
        while !engine.with_model(|model| model.is_idle()) {
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
        tokio::time::sleep(orders.options.load_time).await;
        orders.finish_load(model, version);
    };
    tokio::select! {
        () = death.wait_until_dead() => {}
        () = loading => {}
    }
}
