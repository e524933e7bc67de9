//! Memory reserved at several engines for prompts that exceed one.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_engine::Engine;
use kumquatdrum_routing::gang::{Output, Reply, Reservation, Reservations};
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, EndpointId, HostId, Moment};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::JoinSet;

use kumquatdrum_process::clock::Clock;

const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// One attempt's reservations as the request sees them.
pub struct Reserved {
    /// Resolves once all parts are reserved; an error where that failed.
    pub ready: oneshot::Receiver<()>,
    /// Resolves where a part is lost after that.
    pub lost: oneshot::Receiver<()>,
}

struct Waiting {
    targets: IndexMap<EndpointId, Target>,
    /// Once dispatched, the attempt itself holds the memory at this engine.
    head: Option<EndpointId>,
    ready: Option<oneshot::Sender<()>>,
    lost: Option<oneshot::Sender<()>>,
}

#[derive(Default)]
struct State {
    table: Reservations,
    waiting: IndexMap<AttemptId, Waiting>,
}

/// All reservations of this host.
pub struct Gangs {
    host: HostId,
    clock: Clock,
    engine: Arc<dyn Engine>,
    state: Mutex<State>,
    woken: Notify,
    calls: Mutex<JoinSet<()>>,
}

impl Gangs {
    /// Nothing reserved.
    pub fn new(host: HostId, clock: Clock, engine: Arc<dyn Engine>) -> Self {
        Self {
            host,
            clock,
            engine,
            state: Mutex::default(),
            woken: Notify::new(),
            calls: Mutex::default(),
        }
    }

    /// Reserves all parts, or none, by `expires`.
    pub fn reserve(
        self: &Arc<Self>,
        attempt: &AttemptId,
        parts: Vec<(Target, u64)>,
        expires: Moment,
    ) -> Reserved {
        let (ready, is_ready) = oneshot::channel();
        let (lost, is_lost) = oneshot::channel();
        let targets = parts
            .iter()
            .map(|(target, _)| (target.endpoint.clone(), target.clone()));
        let waiting = Waiting {
            targets: targets.collect(),
            head: None,
            ready: Some(ready),
            lost: Some(lost),
        };
        let parts = parts.into_iter().map(|(target, tokens)| Reservation {
            engine: target.endpoint,
            tokens,
        });
        let mut state = self.state.lock();
        state.waiting.insert(attempt.clone(), waiting);
        let now = self.clock.now();
        let outputs = state.table.begin(now, attempt.clone(), parts, expires);
        self.carry_out(&mut state, outputs);
        self.woken.notify_one();
        Reserved {
            ready: is_ready,
            lost: is_lost,
        }
    }

    /// The attempt was sent to this engine under its reservation there.
    pub fn dispatched(&self, attempt: &AttemptId, head: &EndpointId) {
        if let Some(waiting) = self.state.lock().waiting.get_mut(attempt) {
            waiting.head = Some(head.clone());
        }
    }

    /// The attempt is over: everything is released.
    pub fn end(self: &Arc<Self>, attempt: &AttemptId) {
        let mut state = self.state.lock();
        let outputs = state.table.end(self.clock.now(), attempt);
        self.carry_out(&mut state, outputs);
        self.woken.notify_one();
    }

    /// Whether nothing is reserved and nothing is left to release.
    pub fn is_idle(&self) -> bool {
        self.state.lock().table.is_empty()
    }

    /// An engine is dead, and with it what was reserved there.
    pub fn gone(self: &Arc<Self>, engine: &EndpointId) {
        let mut state = self.state.lock();
        let outputs = state.table.remove_engine(self.clock.now(), engine);
        self.carry_out(&mut state, outputs);
        self.woken.notify_one();
    }

    /// Renews, repeats and gives up until `stopped` resolves.
    pub async fn run(self: Arc<Self>, mut stopped: watch::Receiver<bool>) {
        loop {
            let next = {
                let mut state = self.state.lock();
                let outputs = state.table.tick(self.clock.now());
                self.carry_out(&mut state, outputs);
                let State { table, waiting } = &mut *state;
                waiting.retain(|attempt, _| table.contains(attempt));
                table.next_wake()
            };
            while self.calls.lock().try_join_next().is_some() {}
            let due = self
                .clock
                .instant(next.min(self.clock.now() + LONGEST_SLEEP));
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.woken.notified() => {}
                _ = stopped.wait_for(|stopped| *stopped) => break,
            }
        }
        let mut calls = std::mem::take(&mut *self.calls.lock());
        calls.shutdown().await;
    }

    fn carry_out(self: &Arc<Self>, state: &mut State, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Ready(attempt) => {
                    let waiting = state.waiting.get_mut(&attempt);
                    if let Some(ready) = waiting.and_then(|waiting| waiting.ready.take()) {
                        let _ = ready.send(());
                    }
                }
                Output::Failed(attempt) => {
                    let Some(waiting) = state.waiting.get_mut(&attempt) else {
                        continue;
                    };
                    // A part that never came is told by dropping the sender.
                    let was_ready = waiting.ready.take().is_none();
                    if let Some(lost) = waiting.lost.take().filter(|_| was_ready) {
                        let _ = lost.send(());
                    }
                }
                Output::Reserve {
                    attempt,
                    reservation,
                    time_to_live,
                } => self.ask(state, &attempt, reservation, time_to_live),
                Output::Release { attempt, engine } => self.release(state, attempt, engine),
            }
        }
    }

    fn ask(
        self: &Arc<Self>,
        state: &State,
        attempt: &AttemptId,
        reservation: Reservation,
        ttl: Duration,
    ) {
        let Some(waiting) = state.waiting.get(attempt) else {
            return;
        };
        let is_head = waiting.head.as_ref() == Some(&reservation.engine);
        let Some(target) = waiting.targets.get(&reservation.engine).cloned() else {
            return;
        };
        let gangs = Arc::clone(self);
        let attempt = attempt.clone();
        self.calls.lock().spawn(async move {
            let granted = if is_head {
                Ok(true)
            } else {
                let owner = &gangs.host;
                gangs
                    .engine
                    .reserve(&target, &attempt, owner, reservation.tokens, ttl)
                    .await
            };
            match granted {
                Ok(true) => gangs.answered(&attempt, &reservation.engine, Reply::Granted),
                Ok(false) => gangs.answered(&attempt, &reservation.engine, Reply::Busy),
                Err(_) => {}
            }
        });
    }

    fn release(self: &Arc<Self>, state: &State, attempt: AttemptId, engine: EndpointId) {
        let waiting = state.waiting.get(&attempt);
        let Some(target) = waiting.and_then(|waiting| waiting.targets.get(&engine).cloned()) else {
            return;
        };
        let gangs = Arc::clone(self);
        self.calls.lock().spawn(async move {
            if gangs.engine.release(&target, &attempt).await.is_ok() {
                gangs.answered(&attempt, &engine, Reply::Released);
            }
        });
    }

    fn answered(self: &Arc<Self>, attempt: &AttemptId, engine: &EndpointId, answer: Reply) {
        let mut state = self.state.lock();
        let outputs = state
            .table
            .handle_reply(self.clock.now(), attempt, engine, answer);
        self.carry_out(&mut state, outputs);
        self.woken.notify_one();
    }
}
