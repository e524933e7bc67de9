//! The planned end of this host, which ends the waits of its requests.

use kumquatdrum_placement::Shutdown;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::Moment;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// Holds the planned end once the host stops.
#[derive(Debug)]
pub struct Store {
    clock: Clock,
    planned: watch::Sender<Option<Shutdown>>,
}

impl Store {
    /// Creates the store of a host that does not stop.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            planned: watch::Sender::new(None),
        }
    }

    /// Begins the stop.
    pub fn begin(&self, shutdown: Shutdown) {
        self.planned.send_replace(Some(shutdown));
    }

    /// Returns the planned end, if the host stops.
    pub fn planned(&self) -> Option<Shutdown> {
        *self.planned.borrow()
    }

    /// Waits until no request may wait any longer.
    pub async fn wait_for_end_of_waits(&self) {
        self.wait_until(Shutdown::waits_end_at).await;
    }

    /// Waits until requests that were sent and have no response yet are given up.
    pub async fn wait_for_giving_up(&self) {
        self.wait_until(Shutdown::gives_up_at).await;
    }

    async fn wait_until(&self, moment: impl Fn(&Shutdown) -> Moment) {
        let mut planned = self.planned.subscribe();
        let planned = planned.wait_for(Option::is_some).await;
        // The sender is as old as the store, so the channel is open.
        let shutdown = planned.ok().and_then(|planned| *planned);
        if let Some(shutdown) = shutdown {
            sleep_until(self.clock.instant(moment(&shutdown))).await;
        }
    }
}
