//! Announces a stand-in to the entry hosts of its data centre.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_types::Announcement;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::condition::Gate;

/// Where and how often to announce.
#[derive(Debug, Clone)]
pub struct Options {
    /// Endpoint listeners of entry hosts; the next is tried when one fails.
    pub hosts: Vec<SocketAddr>,
    /// The endpoint key, sent as bearer.
    pub key: String,
    /// Time between announcements.
    pub interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hosts: Vec::new(),
            key: "endpoint key".into(),
            interval: Duration::from_secs(1),
        }
    }
}

/// Makes the announcement of a moment; the announcer sets sequence and leaving.
pub type Source = dyn Fn() -> Announcement + Send + Sync;

/// A running announcer.
#[derive(Debug)]
pub struct Announcer {
    leaving: watch::Sender<bool>,
    notified: watch::Receiver<bool>,
    state: Arc<Mutex<Progress>>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Progress {
    sequence: u64,
    host: usize,
    delivered: u64,
}

struct Worker {
    options: Options,
    source: Box<Source>,
    client: reqwest::Client,
    state: Arc<Mutex<Progress>>,
}

impl Announcer {
    /// Starts to announce; it ends with its stand-in.
    pub fn start(options: Options, source: Box<Source>, gate: Gate) -> Self {
        let (leaving, leave) = watch::channel(false);
        let (notify, notified) = watch::channel(false);
        let state = Arc::new(Mutex::new(Progress::default()));
        let worker = Worker {
            options,
            source,
            client: reqwest::Client::new(),
            state: Arc::clone(&state),
        };
        let task = tokio::spawn(run(worker, gate, leave, notify));
        Self {
            leaving,
            notified,
            state,
            task,
        }
    }

    /// Sends the leaving notice and waits until an entry host has answered it.
    pub async fn leave(&self) {
        self.leaving.send_replace(true);
        let _ = self.notified.clone().wait_for(|done| *done).await;
    }

    /// Announcements that an entry host has answered with success.
    pub fn delivered(&self) -> u64 {
        self.state.lock().delivered
    }

    /// Waits for its end.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

async fn run(
    worker: Worker,
    gate: Gate,
    mut leave: watch::Receiver<bool>,
    notify: watch::Sender<bool>,
) {
    let mut dead = gate.clone();
    tokio::select! {
        () = dead.dead() => {}
        () = announce(worker, gate, &mut leave, &notify) => {}
    }
}

async fn announce(
    worker: Worker,
    mut gate: Gate,
    leave: &mut watch::Receiver<bool>,
    notify: &watch::Sender<bool>,
) {
    if worker.options.hosts.is_empty() {
        let _ = leave.wait_for(|leaving| *leaving).await;
        notify.send_replace(true);
        return;
    }
    while gate.running().await.is_ok() {
        let leaving = *leave.borrow_and_update();
        let delivered = worker.send(leaving).await;
        if leaving && delivered {
            notify.send_replace(true);
        }
        tokio::select! {
            () = tokio::time::sleep(worker.options.interval) => {}
            Ok(()) = leave.changed() => {}
        }
    }
}

impl Worker {
    /// Tries each host once, beginning with the one that answered last.
    async fn send(&self, leaving: bool) -> bool {
        for _ in &self.options.hosts {
            let mut announcement = (self.source)();
            let host = self.next(&mut announcement);
            announcement.leaving = leaving;
            if self.post(host, &announcement).await {
                self.state.lock().delivered += 1;
                return true;
            }
            self.state.lock().host += 1;
        }
        false
    }

    fn next(&self, announcement: &mut Announcement) -> SocketAddr {
        let mut state = self.state.lock();
        state.sequence += 1;
        announcement.sequence = state.sequence;
        self.options.hosts[state.host % self.options.hosts.len()]
    }

    async fn post(&self, host: SocketAddr, announcement: &Announcement) -> bool {
        let answer = self
            .client
            .post(format!("http://{host}/v1/endpoints"))
            .bearer_auth(&self.options.key)
            .timeout(self.options.interval.max(Duration::from_secs(1)) * 2)
            .json(announcement)
            .send()
            .await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}
