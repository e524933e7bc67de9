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

    /// Waits for a record of a higher revision, passes its setup to `prepare` and then activates it.
    /// A request therefore finds all that an active setup refers to. Also returns the record's
    /// `is_leader` as passed to [`Self::offer`].
    pub async fn activate_next(
        self: &Arc<Self>,
        prepare: impl Fn(&Setup),
    ) -> (Arc<Revision>, bool) {
        loop {
            let offer = self.offer.lock().take();
            let Some(offer) = offer else {
                self.wake.notified().await;
                continue;
            };
            let Offer {
                record,
                from,
                is_leader,
            } = offer;
            // It may have been offered while a higher revision was decoded.
            if record.revision <= self.revision() {
                continue;
            }
            if let Some(revision) = self.decode(record, &from).await {
                prepare(revision.table.setup());
                self.activate(revision.clone(), &from);
                return (revision, is_leader);
            }
        }
    }

    /// Decodes a record on another thread, because decoding a large setup takes longer than a
    /// heartbeat interval. Returns `None` if it can't be decoded.
    async fn decode(&self, record: Record, from: &str) -> Option<Arc<Revision>> {
        let protocol = self.protocol.clone();
        let number = record.revision;
        let decoding = spawn_blocking(move || decode_revision(protocol.as_ref(), record));
        let decoded = decoding.await;
        match decoded.unwrap_or_else(|panic| Err(panic.to_string())) {
            Ok(revision) => Some(Arc::new(revision)),
            Err(reason) => {
                // The record was validated before it was committed, so another release wrote it.
                error!(self.logger, "setup_unreadable"; "event" => "setup_unreadable",
                    "revision" => number, "from" => from, "reason" => reason);
                None
            }
        }
    }

    fn activate(&self, revision: Arc<Revision>, from: &str) {
        let before = self.revision();
        info!(self.logger, "setup_in_force"; "event" => "setup_in_force",
            "revision" => revision.record.revision, "before" => before, "from" => from,
            "routes" => revision.table.setup().routes.len());
        *self.current.write() = Some(revision);
    }
}

fn decode_revision(protocol: &dyn Protocol, record: Record) -> Result<Revision, String> {
    let text = record.text().map_err(|error| error.to_string())?;
    let setup = protocol.decode_setup(&text);
    let setup = setup.map_err(|findings| {
        let first = findings.first().map(ToString::to_string);
        format!("{} findings, the first: {first:?}", findings.len())
    })?;
    Ok(Revision {
        record,
        table: Table::new(setup),
    })
}
