//! An in-memory control plane, and listeners that serve it.

#![allow(dead_code, reason = "no test file uses all of these")]

use std::collections::VecDeque;
use std::fmt;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};

use kumquatdrum_operator::{Context, Operator, Operators, routes};
use kumquatdrum_setup::claim::{Entry, Holder};
use kumquatdrum_setup::control::{HostStatus, Page, Replica};
use kumquatdrum_setup::{
    Answer, ApplyAnswer, ApplyRequest, Claim, ClaimAnswer, Command, Control, Failure, Preparation,
    ResponseFuture, Revision, Selector, SettleAnswer, Settlement, Stamp, Standing, StateMachine,
    Status,
};
use kumquatdrum_types::{IdempotencyKey, Version, WorkspaceName, digest};
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket, Shutdown};
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer};
use tokio::sync::oneshot;

pub const KEY: &str = "operator-secret";
pub const CALLER_KEY: &str = "caller-secret";
pub const START_MS: u64 = 1_796_250_600_000;

/// Fault injected into the next apply.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Fails without applying.
    Fail(Failure),
    /// Applies and loses the answer.
    LoseAnswer,
}

/// A control plane with a single [`StateMachine`] and no replicas.
pub struct Fake {
    pub state: Mutex<StateMachine>,
    pub faults: Mutex<VecDeque<Fault>>,
    pub standing: Mutex<Standing>,
    /// Versions of host h2 in successive status reports. The last one is repeated.
    pub h2_versions: Mutex<VecDeque<Option<u64>>>,
    /// Maximum number of audit entries in a page, regardless of the requested limit.
    pub max_page_size: usize,
    /// Whether declarations and audit pages are modified before they are returned.
    pub is_tampering: bool,
}

impl Default for Fake {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            faults: Mutex::default(),
            standing: Mutex::new(Standing::Confirmed),
            h2_versions: Mutex::default(),
            max_page_size: usize::MAX,
            is_tampering: false,
        }
    }
}

impl Fake {
    pub fn apply_now(&self, request: &ApplyRequest) -> ApplyAnswer {
        let mut state = self.state.lock().unwrap();
        let action = match state.prepare(request) {
            Preparation::Answered(answer) => return answer,
            Preparation::Propose(action) => action,
        };
        let index = state.applied() + 1;
        let stamp = Stamp {
            unix_ms: START_MS + 1_000 * index,
            elapsed_ms: 0,
        };
        match state.apply(index, &Command { stamp, action }) {
            Answer::Apply(answer) => answer,
            other => panic!("not an apply's answer: {other:?}"),
        }
    }

    fn host(host: &str, version: Option<u64>) -> HostStatus {
        HostStatus {
            host: host.into(),
            data_centre: "hall-ringtee".into(),
            replica: Replica::Voter,
            reachable: version.is_some(),
            version: version.map(Version),
        }
    }
}

fn ready<'a, T: Send + 'a>(result: Result<T, Failure>) -> ResponseFuture<'a, T> {
    Box::pin(std::future::ready(result))
}

impl Control for Fake {
    fn key(
        &self,
        workspace: &WorkspaceName,
        key: &IdempotencyKey,
    ) -> ResponseFuture<'_, Option<Holder>> {
        let state = self.state.lock().unwrap();
        ready(Ok(state.claims().get(workspace, key).map(Entry::holder)))
    }

    fn apply(&self, request: ApplyRequest) -> ResponseFuture<'_, ApplyAnswer> {
        let fault = self.faults.lock().unwrap().pop_front();
        ready(match fault {
            None => Ok(self.apply_now(&request)),
            Some(Fault::Fail(failure)) => Err(failure),
            Some(Fault::LoseAnswer) => {
                self.apply_now(&request);
                Err(Failure::Unknown)
            }
        })
    }

    fn show(&self, selector: Selector) -> ResponseFuture<'_, Revision> {
        let standing = *self.standing.lock().unwrap();
        let mut revision = self.state.lock().unwrap().show(selector, standing);
        if let Some(revision) = revision.as_mut().filter(|_| self.is_tampering) {
            revision.text = revision.text.replace("card", "dark").into();
        }
        ready(revision.ok_or(Failure::NoSuchVersion))
    }

    fn audit(&self, from: u64, limit: usize) -> ResponseFuture<'_, Page> {
        let state = self.state.lock().unwrap();
        let (previous, entries) = state.trail().page(from, limit.min(self.max_page_size));
        let next = from + entries.len() as u64;
        let mut entries = entries.to_vec();
        if let Some(last) = entries.last_mut().filter(|_| self.is_tampering) {
            last.record.operator.push('!');
        }
        ready(Ok(Page {
            previous,
            entries,
            next: (next <= state.trail().len()).then_some(next),
            standing: Standing::Confirmed,
        }))
    }

    fn status(&self) -> ResponseFuture<'_, Status> {
        let revision = self
            .state
            .lock()
            .unwrap()
            .show(Selector::Current, Standing::Confirmed);
        let revision = revision.expect("the current version");
        let mut versions = self.h2_versions.lock().unwrap();
        let h2_version = match versions.len() {
            0 | 1 => versions
                .front()
                .copied()
                .unwrap_or(Some(revision.version.0)),
            _ => versions.pop_front().expect("at least two versions"),
        };
        ready(Ok(Status {
            host: "h1".into(),
            data_centre: "hall-ringtee".into(),
            version: revision.version,
            digest: revision.digest,
            standing: revision.standing,
            leader: Some("h1".into()),
            hosts: vec![
                Self::host("h1", Some(revision.version.0)),
                Self::host("h2", h2_version),
            ],
            endpoints: Vec::new(),
            cut_off: Vec::new(),
        }))
    }

    fn claim(&self, _: Vec<Claim>) -> ResponseFuture<'_, Vec<ClaimAnswer>> {
        ready(Err(Failure::Unavailable))
    }

    fn settle(&self, _: Vec<Settlement>) -> ResponseFuture<'_, Vec<SettleAnswer>> {
        ready(Err(Failure::Unavailable))
    }
}

/// Collects log lines as `key=value` pairs.
#[derive(Clone, Default)]
pub struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    pub fn all(&self) -> Vec<String> {
        self.0.lock().unwrap().clone()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Pairs(String::new());
        let _ = record.kv().serialize(record, &mut line);
        self.0.lock().unwrap().push(line.0);
        Ok(())
    }
}

struct Pairs(String);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        // slog emits the pairs in reverse order.
        self.0 = format!("{key}={value} {}", self.0);
        Ok(())
    }
}

pub fn rocket(control: Arc<Fake>, lines: Lines) -> Rocket<Build> {
    let operator = Operator {
        name: "kadri".to_owned(),
        sha256: digest::hex(KEY.as_bytes()),
    };
    let config = rocket::Config {
        address: Ipv4Addr::LOCALHOST.into(),
        port: 0,
        log_level: rocket::config::LogLevel::Off,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            grace: 1,
            mercy: 1,
            ..rocket::config::Shutdown::default()
        },
        ..rocket::Config::default()
    };
    let context = Context {
        control,
        operators: Operators::new("/operators", &[operator]).expect("valid operator"),
        logger: Logger::root(lines.fuse(), slog::o!()),
    };
    rocket::custom(config).manage(context).mount("/", routes())
}

/// A listener on the loopback interface.
pub struct Host {
    pub url: String,
    shutdown: Shutdown,
    task: tokio::task::JoinHandle<()>,
}

impl Host {
    pub async fn start(control: Arc<Fake>) -> Self {
        let (sender, receiver) = oneshot::channel();
        let sender = Mutex::new(Some(sender));
        let rocket =
            rocket(control, Lines::default()).attach(AdHoc::on_liftoff("port", |rocket| {
                let port = rocket.config().port;
                Box::pin(async move {
                    let sender = sender.lock().unwrap().take();
                    sender
                        .expect("one liftoff")
                        .send(port)
                        .expect("a waiting test");
                })
            }));
        let rocket = rocket.ignite().await.expect("valid routes");
        let shutdown = rocket.shutdown();
        let task = tokio::spawn(async move {
            rocket
                .launch()
                .await
                .expect("the listener runs until shutdown");
        });
        let port = receiver.await.expect("a liftoff");
        Self {
            url: format!("http://127.0.0.1:{port}"),
            shutdown,
            task,
        }
    }

    pub async fn stop(self) {
        self.shutdown.notify();
        self.task.await.expect("the listener task completes");
    }
}

pub fn text(level: u8) -> String {
    format!(
        "{{\"priorities\": [ {{\"name\": \"card\",\t\"level\": {level}, \"aging_ms\": 5}}]}}\r\n"
    )
}

pub fn request(base: u64, level: u8) -> ApplyRequest {
    ApplyRequest::new("kadri", Version(base), text(level))
}
