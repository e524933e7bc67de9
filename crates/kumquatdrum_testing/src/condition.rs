//! Whether a stand-in runs, is frozen or dead, and which of its connections have gone silent.

use tokio::sync::watch;

/// Whether a stand-in runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// It works.
    #[default]
    Running,
    /// It stands still, as a stopped process does: connections open, nothing is answered.
    Frozen,
    /// It is gone: connections are reset and refused.
    Dead,
}

/// The condition of a stand-in at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Condition {
    /// Whether it runs.
    pub mode: Mode,
    /// Connections opened in an earlier epoch carry nothing any more.
    pub epoch: u64,
}

/// Sets the condition; every task of the stand-in watches it.
#[derive(Debug)]
pub struct Switch(watch::Sender<Condition>);

/// Watches the condition.
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
    /// A gate that watches this switch.
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

    /// Silences the connections that are open now.
    pub fn silence_open(&self) {
        self.0.send_modify(|condition| condition.epoch += 1);
    }
}

impl Gate {
    /// The condition now.
    pub fn now(&self) -> Condition {
        *self.0.borrow()
    }

    /// Waits until the stand-in runs.
    pub async fn running(&mut self) -> Result<(), Dead> {
        self.passes(u64::MAX).await
    }

    /// Waits until the stand-in runs and connections of this epoch carry bytes.
    pub async fn passes(&mut self, epoch: u64) -> Result<(), Dead> {
        let open = |condition: &Condition| {
            condition.mode == Mode::Dead
                || (condition.mode == Mode::Running && condition.epoch <= epoch)
        };
        match self.0.wait_for(open).await {
            Ok(condition) if condition.mode == Mode::Running => Ok(()),
            _ => Err(Dead),
        }
    }

    /// Waits until the stand-in is dead.
    pub async fn dead(&mut self) {
        let _ = self
            .0
            .wait_for(|condition| condition.mode == Mode::Dead)
            .await;
    }
}
