//! Memory reservations at several engines for prompts that exceed the memory of one.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_engine::Engine;
use kumquatdrum_routing::gang::{self, Output, Reply};
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, EndpointId, HostId, Moment};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;

use kumquatdrum_process::clock::Clock;

const MAX_SLEEP: Duration = Duration::from_millis(500);

/// A handle to the reservation of one attempt.
pub struct Handle {
    /// Resolves once all parts are reserved, with an error if that fails.
    pub ready: oneshot::Receiver<()>,
    /// Resolves if a part is lost after all were reserved.
    pub lost: oneshot::Receiver<()>,
}

struct Entry {
    targets: IndexMap<EndpointId, Target>,
    /// The engine that the attempt was dispatched to. Its part isn't renewed, because the running
    /// attempt holds the memory there.
    head: Option<EndpointId>,
    ready: Option<oneshot::Sender<()>>,
    lost: Option<oneshot::Sender<()>>,
}

#[derive(Default)]
struct State {
    table: gang::Reservations,
    entries: IndexMap<AttemptId, Entry>,
}

/// All reservations of this host.
pub struct Reservations {
    host: HostId,
    clock: Clock,
    engine: Arc<dyn Engine>,
    state: Mutex<State>,
    wake: Notify,
    calls: Mutex<JoinSet<()>>,
}

impl Reservations {
    /// Creates an empty set of reservations.
    pub fn new(host: HostId, clock: Clock, engine: Arc<dyn Engine>) -> Self {
        Self {
            host,
            clock,
            engine,
            state: Mutex::default(),
            wake: Notify::new(),
            calls: Mutex::default(),
        }
    }

    /// Reserves all parts or none until `expires`.
    pub fn reserve(
        self: &Arc<Self>,
        attempt: &AttemptId,
        parts: Vec<(Target, u64)>,
        expires: Moment,
    ) -> Handle {
        let (ready, ready_receiver) = oneshot::channel();
        let (lost, lost_receiver) = oneshot::channel();
        let targets = parts
            .iter()
            .map(|(target, _)| (target.endpoint.clone(), target.clone()));
        let entry = Entry {
            targets: targets.collect(),
            head: None,
            ready: Some(ready),
            lost: Some(lost),
        };
        let parts = parts.into_iter().map(|(target, tokens)| gang::Reservation {
            engine: target.endpoint,
            tokens,
        });
        let mut state = self.state.lock();
        state.entries.insert(attempt.clone(), entry);
        let now = self.clock.now();
        let outputs = state.table.begin(now, attempt.clone(), parts, expires);
        self.execute(&mut state, outputs);
        self.wake.notify_one();
        Handle {
            ready: ready_receiver,
            lost: lost_receiver,
        }
    }

    /// Records the engine that an attempt was dispatched to.
    pub fn set_head(&self, attempt: &AttemptId, head: &EndpointId) {
        if let Some(entry) = self.state.lock().entries.get_mut(attempt) {
            entry.head = Some(head.clone());
        }
    }

    /// Releases all parts of an attempt that has ended.
    pub fn release(self: &Arc<Self>, attempt: &AttemptId) {
        let mut state = self.state.lock();
        let outputs = state.table.end(self.clock.now(), attempt);
        self.execute(&mut state, outputs);
        self.wake.notify_one();
    }

    /// Returns whether nothing is reserved or awaits its release.
    pub fn is_idle(&self) -> bool {
        self.state.lock().table.is_empty()
    }

    /// Removes an engine that is gone, with its reservations.
    pub fn remove_engine(self: &Arc<Self>, engine: &EndpointId) {
        let mut state = self.state.lock();
        let outputs = state.table.remove_engine(self.clock.now(), engine);
        self.execute(&mut state, outputs);
        self.wake.notify_one();
    }

    /// Renews, retries and expires reservations until `stopped` turns true.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        loop {
            let next = {
                let mut state = self.state.lock();
                let outputs = state.table.tick(self.clock.now());
                self.execute(&mut state, outputs);
                let State { table, entries } = &mut *state;
                entries.retain(|attempt, _| table.contains(attempt));
                table.next_tick()
            };
            while self.calls.lock().try_join_next().is_some() {}
            let due = self.clock.instant(next.min(self.clock.now() + MAX_SLEEP));
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.wake.notified() => {}
                _ = stopped.wait_for(|stopped| *stopped) => break,
            }
        }
        let mut calls = std::mem::take(&mut *self.calls.lock());
        calls.shutdown().await;
    }

    fn execute(self: &Arc<Self>, state: &mut State, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Ready(attempt) => {
                    let entry = state.entries.get_mut(&attempt);
                    if let Some(ready) = entry.and_then(|entry| entry.ready.take()) {
                        let _ = ready.send(());
                    }
                }
                Output::Failed(attempt) => {
                    let Some(entry) = state.entries.get_mut(&attempt) else {
                        continue;
                    };
                    // Dropping the `ready` sender reports that the reservation failed.
                    let was_ready = entry.ready.take().is_none();
                    if let Some(lost) = entry.lost.take().filter(|_| was_ready) {
                        let _ = lost.send(());
                    }
                }
                Output::Reserve {
                    attempt,
                    reservation,
                    time_to_live,
                } => self.send_reserve(state, &attempt, reservation, time_to_live),
                Output::Release { attempt, engine } => self.send_release(state, attempt, engine),
            }
        }
    }

    fn send_reserve(
        self: &Arc<Self>,
        state: &State,
        attempt: &AttemptId,
        reservation: gang::Reservation,
        ttl: Duration,
    ) {
        let Some(entry) = state.entries.get(attempt) else {
            return;
        };
        let is_head = entry.head.as_ref() == Some(&reservation.engine);
        let Some(target) = entry.targets.get(&reservation.engine).cloned() else {
            return;
        };
        let reservations = Arc::clone(self);
        let attempt = attempt.clone();
        self.calls.lock().spawn(async move {
            let granted = if is_head {
                Ok(true)
            } else {
                let owner = &reservations.host;
                reservations
                    .engine
                    .reserve(&target, &attempt, owner, reservation.tokens, ttl)
                    .await
            };
            match granted {
                Ok(true) => {
                    reservations.handle_reply(&attempt, &reservation.engine, Reply::Granted);
                }
                Ok(false) => reservations.handle_reply(&attempt, &reservation.engine, Reply::Busy),
                Err(_) => {}
            }
        });
    }

    fn send_release(self: &Arc<Self>, state: &State, attempt: AttemptId, engine: EndpointId) {
        let entry = state.entries.get(&attempt);
        let Some(target) = entry.and_then(|entry| entry.targets.get(&engine).cloned()) else {
            return;
        };
        let reservations = Arc::clone(self);
        self.calls.lock().spawn(async move {
            if reservations.engine.release(&target, &attempt).await.is_ok() {
                reservations.handle_reply(&attempt, &engine, Reply::Released);
            }
        });
    }

    fn handle_reply(self: &Arc<Self>, attempt: &AttemptId, engine: &EndpointId, reply: Reply) {
        let mut state = self.state.lock();
        let outputs = state
            .table
            .handle_reply(self.clock.now(), attempt, engine, reply);
        self.execute(&mut state, outputs);
        self.wake.notify_one();
    }
}
