//! Announces a stand-in to the entry hosts of its data centre.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_types::Announcement;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::condition::Gate;

/// Target hosts, key and interval of the announcements.
#[derive(Debug, Clone)]
pub struct Options {
    /// Endpoint listeners of entry hosts; the next one is tried when one fails.
    pub hosts: Vec<SocketAddr>,
    /// Endpoint key, sent as a bearer token.
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

/// Returns the current announcement; the announcer fills in `sequence` and `leaving`.
pub type Source = dyn Fn() -> Announcement + Send + Sync;

/// A running announcer task.
#[derive(Debug)]
pub struct Announcer {
    leaving: watch::Sender<bool>,
    leaving_accepted: watch::Receiver<bool>,
    progress: Arc<Mutex<Progress>>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Progress {
    sequence: u64,
    host_index: usize,
    delivered: u64,
}

struct Worker {
    options: Options,
    source: Box<Source>,
    client: reqwest::Client,
    progress: Arc<Mutex<Progress>>,
}

impl Announcer {
    /// Starts to announce; the task ends when the stand-in is dead.
    pub fn start(options: Options, source: Box<Source>, gate: Gate) -> Self {
        let (leaving, leave) = watch::channel(false);
        let (accepted, leaving_accepted) = watch::channel(false);
        let progress = Arc::new(Mutex::new(Progress::default()));
        let worker = Worker {
            options,
            source,
            client: reqwest::Client::new(),
            progress: Arc::clone(&progress),
        };
        let task = tokio::spawn(run(worker, gate, leave, accepted));
        Self {
            leaving,
            leaving_accepted,
            progress,
            task,
        }
    }

    /// Sends the leaving notice and waits until an entry host has accepted it.
    pub async fn leave(&self) {
        self.leaving.send_replace(true);
        let _ = self.leaving_accepted.clone().wait_for(|done| *done).await;
    }

    /// Returns the number of announcements that an entry host has accepted.
    pub fn delivered(&self) -> u64 {
        self.progress.lock().delivered
    }

    /// Waits for the task to end.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

async fn run(
    worker: Worker,
    gate: Gate,
    mut leave: watch::Receiver<bool>,
    accepted: watch::Sender<bool>,
) {
    let mut death = gate.clone();
    tokio::select! {
        () = death.wait_until_dead() => {}
        () = announce(worker, gate, &mut leave, &accepted) => {}
    }
}

async fn announce(
    worker: Worker,
    mut gate: Gate,
    leave: &mut watch::Receiver<bool>,
    accepted: &watch::Sender<bool>,
) {
    if worker.options.hosts.is_empty() {
        let _ = leave.wait_for(|leaving| *leaving).await;
        accepted.send_replace(true);
        return;
    }
    while gate.wait_until_running().await.is_ok() {
        let leaving = *leave.borrow_and_update();
        let delivered = worker.send(leaving).await;
        if leaving && delivered {
            accepted.send_replace(true);
        }
        tokio::select! {
            () = tokio::time::sleep(worker.options.interval) => {}
            Ok(()) = leave.changed() => {}
        }
    }
}

impl Worker {
    /// Tries each host once, starting with the one that accepted the last announcement.
    async fn send(&self, leaving: bool) -> bool {
        for _ in &self.options.hosts {
            let mut announcement = (self.source)();
            let host = self.assign_sequence(&mut announcement);
            announcement.leaving = leaving;
            if self.post(host, &announcement).await {
                self.progress.lock().delivered += 1;
                return true;
            }
            self.progress.lock().host_index += 1;
        }
        false
    }

    /// Sets the next sequence number and returns the host to try.
    fn assign_sequence(&self, announcement: &mut Announcement) -> SocketAddr {
        let mut progress = self.progress.lock();
        progress.sequence += 1;
        announcement.sequence = progress.sequence;
        self.options.hosts[progress.host_index % self.options.hosts.len()]
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
