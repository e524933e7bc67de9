//! Whether a stand-in is running, frozen or dead, and which of its connections are silenced.

use tokio::sync::watch;

/// Run state of a stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Requests are served.
    #[default]
    Running,
    /// Connections stay open and nothing is answered, as with a process that got SIGSTOP.
    Frozen,
    /// Open connections are reset, new ones refused.
    Dead,
}

/// Run state of a stand-in and epoch of its connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct Condition {
    /// Run state.
    pub mode: Mode,
    /// Connections opened in an earlier epoch carry no bytes.
    pub epoch: u64,
    /// Whether a dead stand-in closes its listener a little later than its connections.
    pub closes_listener_late: bool,
}

/// Sets the condition that every task of the stand-in watches.
#[derive(Debug)]
pub struct Switch(watch::Sender<Condition>);

/// Watches the condition set by a [`Switch`].
#[derive(Debug, Clone)]
pub struct Gate(watch::Receiver<Condition>);

/// The stand-in is dead, or its handle was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dead;

impl Default for Switch {
    fn default() -> Self {
        Self(watch::channel(Condition::default()).0)
    }
}

impl Switch {
    /// Returns a gate that watches this switch.
    pub fn gate(&self) -> Gate {
        Gate(self.0.subscribe())
    }

    /// Sets the mode; a dead stand-in stays dead.
    pub fn set(&self, mode: Mode) {
        self.0.send_modify(|condition| match condition.mode {
            Mode::Dead => {}
            _ => condition.mode = mode,
        });
    }

    /// Kills the stand-in; its listener closes a little later than its connections.
    pub fn die_slowly(&self) {
        self.0.send_modify(|condition| {
            condition.mode = Mode::Dead;
            condition.closes_listener_late = true;
        });
    }

    /// Silences the connections that are open now.
    pub fn silence_open(&self) {
        self.0.send_modify(|condition| condition.epoch += 1);
    }
}

impl Gate {
    /// Returns the current condition.
    pub fn current(&self) -> Condition {
        *self.0.borrow()
    }

    /// Waits until the stand-in is running.
    pub async fn wait_until_running(&mut self) -> Result<(), Dead> {
        self.wait_until_open(u64::MAX).await
    }

    /// Waits until the stand-in is running and connections of this epoch carry bytes.
    pub async fn wait_until_open(&mut self, epoch: u64) -> Result<(), Dead> {
        let is_settled = |condition: &Condition| {
            condition.mode == Mode::Dead
                || (condition.mode == Mode::Running && condition.epoch <= epoch)
        };
        match self.0.wait_for(is_settled).await {
            Ok(condition) if condition.mode == Mode::Running => Ok(()),
            _ => Err(Dead),
        }
    }

    /// Waits until the stand-in is dead.
    pub async fn wait_until_dead(&mut self) {
        let _ = self
            .0
            .wait_for(|condition| condition.mode == Mode::Dead)
            .await;
    }
}
