//! A stand-in plain service, which echoes each call and counts its runs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_types::digest;
use kumquatdrum_types::endpoint::Kind;
use rocket::data::{ByteUnit, Data};
use rocket::http::{ContentType, Header, Method, Status};
use rocket::request::Request;
use rocket::response::Response;
use rocket::route::{Handler, Outcome, Route};
use serde_json::{Value, json};

use crate::condition::Switch;
use crate::control::Control;
use crate::counters::{Counters, Counts};
use crate::fault::{Fault, Faults};
use crate::process::{self, Process};
use crate::server::Error;

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
    Method::Head,
    Method::Options,
];

/// Configuration of a plain service.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, service, addresses and announcements.
    pub process: process::Options,
    /// Duration of a call.
    pub work: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_limit: u64,
}

impl Options {
    /// Returns options for a plain service on a free loopback port that isn't announced.
    ///
    /// ```
    /// let options = kumquatdrum_testing::service::Options::new("p1", "salon-api", "hall-raatuse");
    /// assert!(options.work.is_zero());
    /// ```
    pub fn new(name: &str, service: &str, data_centre: &str) -> Self {
        Self {
            process: process::Options::new(name, service, data_centre),
            work: Duration::ZERO,
            body_limit: 64 * 1024 * 1024,
        }
    }
}

/// A running plain service.
///
/// ```
/// # let runtime = tokio::runtime::Runtime::new().unwrap();
/// # runtime.block_on(async {
/// use kumquatdrum_testing::service::{Options, Service};
///
/// let service = Service::start(Options::new("p1", "salon-api", "hall-raatuse")).await?;
/// assert_eq!(service.counts().received, 0);
/// service.shutdown().await;
/// # Ok::<(), kumquatdrum_testing::server::Error>(())
/// # }).unwrap();
/// ```
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    process: Process,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    switch: Arc<Switch>,
    faults: Faults,
    counters: Counters,
}

impl Service {
    /// Starts a plain service, and announces it if entry hosts are configured.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            options,
            switch: Arc::default(),
            faults: Faults::default(),
            counters: Counters::default(),
        });
        let boot = shared.options.process.boot();
        let announced_options = shared.options.process.clone();
        let echo = Echo(Arc::clone(&shared));
        let process = Process::start(
            &shared.options.process,
            Arc::clone(&shared.switch),
            Arc::clone(&shared) as Arc<dyn Control>,
            Arc::default(),
            |rocket| rocket.mount("/", echo),
            |address| Box::new(move || announced_options.announcement(boot, address, Kind::Plain)),
        )
        .await?;
        Ok(Self { shared, process })
    }

    /// Returns the address that serves calls.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Returns the address of the control port, which stays up after [`Fault::Die`].
    pub fn control_address(&self) -> SocketAddr {
        self.process.control_address()
    }

    /// Activates a fault.
    pub fn inject(&self, fault: &Fault) {
        self.shared.inject(fault);
    }

    /// Returns the counts of calls and runs.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Returns the number of announcements that an entry host has accepted.
    pub fn announced(&self) -> u64 {
        self.process.announcer().delivered()
    }

    /// Sends the leaving notice and waits until an entry host has accepted it.
    pub async fn leave(&self) {
        self.process.announcer().leave().await;
    }

    /// Stops the service at once and joins all its tasks.
    pub async fn shutdown(self) {
        self.process.shutdown().await;
    }
}

impl Control for Shared {
    fn inject(&self, fault: &Fault) {
        process::apply(&self.switch, fault);
        self.faults.inject(fault);
    }

    fn counts(&self) -> Counts {
        self.counters.snapshot()
    }
}

/// Handles every method and path.
#[derive(Debug, Clone)]
struct Echo(Arc<Shared>);

impl From<Echo> for Vec<Route> {
    fn from(echo: Echo) -> Self {
        let route = |method| Route::new(method, "/<path..>", echo.clone());
        METHODS.into_iter().map(route).collect()
    }
}

#[rocket::async_trait]
impl Handler for Echo {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let limit = ByteUnit::Byte(self.0.options.body_limit);
        let body = match data.open(limit).into_bytes().await {
            Ok(body) if body.is_complete() => body.into_inner(),
            _ => return Outcome::Error(Status::PayloadTooLarge),
        };
        let call = Call::new(request, &body);
        let (status, answer) = self.0.run(&call).await;
        let answer = answer.to_string();
        let mut response = Response::build();
        response
            .status(status)
            .header(ContentType::JSON)
            .header(Header::new("x-attempt-id", call.attempt))
            .sized_body(answer.len(), std::io::Cursor::new(answer));
        Outcome::Success(response.finalize())
    }
}

/// A parsed call.
#[derive(Debug)]
struct Call {
    attempt: String,
    test_key: Option<String>,
    method: Method,
    path: String,
    digest: String,
    body: Value,
}

impl Call {
    fn new(request: &Request<'_>, body: &[u8]) -> Self {
        let header = |name| request.headers().get_one(name).map(str::to_owned);
        let text = || Value::String(String::from_utf8_lossy(body).into_owned());
        let value: Value = serde_json::from_slice(body).unwrap_or_else(|_| text());
        let body_key = value["test_key"].as_str().map(str::to_owned);
        Self {
            attempt: header("x-attempt-id").unwrap_or_default(),
            test_key: header("x-test-key").or(body_key),
            method: request.method(),
            path: request.uri().to_string(),
            digest: digest::hex(body),
            body: value,
        }
    }
}

impl Shared {
    async fn run(&self, call: &Call) -> (Status, Value) {
        self.counters.record_received();
        if self.faults.take_refuse() {
            let error = json!({"error": {"code": "full", "started": false}});
            return (Status::ServiceUnavailable, error);
        }
        self.counters.record_accepted();
        self.counters.record_run(&call.attempt, &call.digest);
        if let Some(key) = &call.test_key {
            self.counters.record_key(key);
        }
        if self.faults.fails() {
            let error = json!({"error": {"code": "internal", "started": true}});
            return (Status::InternalServerError, error);
        }
        self.counters.adjust_running(1);
        tokio::time::sleep(self.options.work).await;
        self.counters.adjust_running(-1);
        self.counters.record_finished();
        if let Some(delay) = self.faults.take_late() {
            tokio::time::sleep(delay).await;
        }
        (Status::Ok, echo(call))
    }
}

fn echo(call: &Call) -> Value {
    json!({
        "attempt": call.attempt,
        "method": call.method.as_str(),
        "path": call.path,
        "body": call.body,
    })
}
