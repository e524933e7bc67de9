//! The setup that is active on this host.

use std::sync::Arc;

use kumquatdrum_routes::{Record, Setup, Table};
use parking_lot::{Mutex, RwLock};
use slog::{error, info};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;

use crate::Protocol;

/// A decoded revision of the setup.
#[derive(Debug)]
pub struct Revision {
    /// The committed record.
    pub record: Record,
    /// The lookup tables.
    pub table: Table,
}

/// A committed record that has not been decoded yet.
#[derive(Debug)]
struct Offer {
    record: Record,
    from: String,
    is_leader: bool,
}

/// Holds the active setup: the record with the highest revision received so far.
pub struct Store {
    protocol: Arc<dyn Protocol>,
    current: RwLock<Option<Arc<Revision>>>,
    /// The newest record to decode, which replaces earlier ones.
    offer: Mutex<Option<Offer>>,
    wake: Notify,
    logger: slog::Logger,
}

impl Store {
    /// Creates an empty store.
    pub fn new(protocol: Arc<dyn Protocol>, logger: slog::Logger) -> Self {
        Self {
            protocol,
            current: RwLock::new(None),
            offer: Mutex::new(None),
            wake: Notify::new(),
            logger,
        }
    }

    /// Returns the active setup.
    pub fn current(&self) -> Option<Arc<Revision>> {
        self.current.read().clone()
    }

    /// Returns the active revision, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        let current = self.current.read();
        current
            .as_ref()
            .map_or(0, |active_setup| active_setup.record.revision)
    }

    /// Offers a committed record, which [`Self::activate_next`] activates if its revision is the
    /// highest. `is_leader` states whether this host's replica applied it as the leader; it is
    /// false for records from other hosts.
    pub fn offer(&self, record: &Record, from: &str, is_leader: bool) {
        let mut offer = self.offer.lock();
        let offered = offer.as_ref().map_or(0, |offer| offer.record.revision);
        if record.revision <= self.revision().max(offered) {
            return;
        }
        *offer = Some(Offer {
            record: record.clone(),
            from: from.to_owned(),
            is_leader,
        });
        self.wake.notify_one();
    }

    /// Waits for a record of a higher revision and activates it. Also returns the record's
    /// `is_leader` as passed to [`Self::offer`].
    pub async fn activate_next(self: &Arc<Self>) -> (Arc<Revision>, bool) {
        loop {
            let offer = self.offer.lock().take();
            let Some(offer) = offer else {
                self.wake.notified().await;
                continue;
            };
            let is_leader = offer.is_leader;
            // Decoding a large setup takes longer than a heartbeat interval, so it runs on another
            // thread.
            let store = self.clone();
            let activating = spawn_blocking(move || store.activate(&offer.record, &offer.from));
            match activating.await {
                Ok(Some(active_setup)) => return (active_setup, is_leader),
                Ok(None) => {}
                Err(reason) => error!(self.logger, "setup_unreadable";
                    "event" => "setup_unreadable", "reason" => %reason),
            }
        }
    }

    /// Activates a record if its revision is higher than the active one.
    fn activate(&self, record: &Record, from: &str) -> Option<Arc<Revision>> {
        let before = self.revision();
        if record.revision <= before {
            return None;
        }
        let setup = match self.decode(record) {
            Ok(setup) => setup,
            Err(reason) => {
                // The record was validated before it was committed, so another release wrote it.
                error!(self.logger, "setup_unreadable"; "event" => "setup_unreadable",
                    "revision" => record.revision, "from" => from, "reason" => reason);
                return None;
            }
        };
        let active_setup = Arc::new(Revision {
            record: record.clone(),
            table: Table::new(setup),
        });
        {
            let mut current = self.current.write();
            let known = current.as_ref().map_or(0, |known| known.record.revision);
            if known >= record.revision {
                return None;
            }
            *current = Some(active_setup.clone());
        }
        info!(self.logger, "setup_in_force"; "event" => "setup_in_force",
            "revision" => record.revision, "before" => before, "from" => from,
            "routes" => active_setup.table.setup().routes.len());
        Some(active_setup)
    }

    fn decode(&self, record: &Record) -> Result<Setup, String> {
        let text = record.text().map_err(|error| error.to_string())?;
        let setup = self.protocol.decode_setup(&text);
        setup.map_err(|findings| {
            let first = findings.first().map(ToString::to_string);
            format!("{} findings, the first: {first:?}", findings.len())
        })
    }
}
