//! What this host goes by.

use std::sync::Arc;

use kumquatdrum_routes::{Record, Setup, Table};
use parking_lot::{Mutex, RwLock};
use slog::{error, info};
use tokio::sync::Notify;
use tokio::task::spawn_blocking;

use crate::Protocol;

/// A record with its indexes.
#[derive(Debug)]
pub struct InForce {
    /// The record as it was committed.
    pub record: Record,
    /// Its look-ups.
    pub table: Table,
}

/// A committed record that is not read yet.
#[derive(Debug)]
struct Offer {
    record: Record,
    from: String,
    leads: bool,
}

/// Holds the record with the highest revision that this host has been told of.
pub struct Store {
    protocol: Arc<dyn Protocol>,
    current: RwLock<Option<Arc<InForce>>>,
    /// The newest record that is still to be read; earlier ones are overtaken.
    offer: Mutex<Option<Offer>>,
    wake: Notify,
    logger: slog::Logger,
}

impl Store {
    /// An empty store.
    pub fn new(protocol: Arc<dyn Protocol>, logger: slog::Logger) -> Self {
        Self {
            protocol,
            current: RwLock::new(None),
            offer: Mutex::new(None),
            wake: Notify::new(),
            logger,
        }
    }

    /// What is in force here.
    pub fn current(&self) -> Option<Arc<InForce>> {
        self.current.read().clone()
    }

    /// The revision in force here; 0 before the first.
    pub fn revision(&self) -> u64 {
        let current = self.current.read();
        current
            .as_ref()
            .map_or(0, |in_force| in_force.record.revision)
    }

    /// A committed record, which [`Self::next`] puts in force where its revision is the highest;
    /// `leads` where it comes from the log of a replica that leads.
    pub fn offer(&self, record: &Record, from: &str, leads: bool) {
        let mut offer = self.offer.lock();
        let offered = offer.as_ref().map_or(0, |offer| offer.record.revision);
        if record.revision <= self.revision().max(offered) {
            return;
        }
        *offer = Some(Offer {
            record: record.clone(),
            from: from.to_owned(),
            leads,
        });
        self.wake.notify_one();
    }

    /// Waits for a record of a higher revision and puts it in force, and says whether it was
    /// offered by a leader.
    pub async fn next(self: &Arc<Self>) -> (Arc<InForce>, bool) {
        loop {
            let offer = self.offer.lock().take();
            let Some(offer) = offer else {
                self.wake.notified().await;
                continue;
            };
            let leads = offer.leads;
            // On a thread of its own: a leader that unpacks and reads 16,000 routes on a sixth of a
            // core between two heartbeats loses its quorum.
            let reader = self.clone();
            let taking = spawn_blocking(move || reader.take(&offer.record, &offer.from));
            match taking.await {
                Ok(Some(in_force)) => return (in_force, leads),
                Ok(None) => {}
                Err(reason) => error!(self.logger, "setup_unreadable";
                    "event" => "setup_unreadable", "reason" => %reason),
            }
        }
    }

    /// Takes a record of a higher revision; a host never goes back.
    fn take(&self, record: &Record, from: &str) -> Option<Arc<InForce>> {
        let before = self.revision();
        if record.revision <= before {
            return None;
        }
        let setup = match self.read(record) {
            Ok(setup) => setup,
            Err(reason) => {
                // It was read before it was committed, so a host of another release wrote it.
                error!(self.logger, "setup_unreadable"; "event" => "setup_unreadable",
                    "revision" => record.revision, "from" => from, "reason" => reason);
                return None;
            }
        };
        let in_force = Arc::new(InForce {
            record: record.clone(),
            table: Table::new(setup),
        });
        {
            let mut current = self.current.write();
            let known = current.as_ref().map_or(0, |known| known.record.revision);
            if known >= record.revision {
                return None;
            }
            *current = Some(in_force.clone());
        }
        info!(self.logger, "setup_in_force"; "event" => "setup_in_force",
            "revision" => record.revision, "before" => before, "from" => from,
            "routes" => in_force.table.setup().routes.len());
        Some(in_force)
    }

    fn read(&self, record: &Record) -> Result<Setup, String> {
        let text = record.text().map_err(|error| error.to_string())?;
        let setup = self.protocol.setup(&text);
        setup.map_err(|findings| {
            let first = findings.first().map(ToString::to_string);
            format!("{} findings, the first: {first:?}", findings.len())
        })
    }
}
