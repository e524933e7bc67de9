//! What this host goes by.

use std::sync::Arc;

use kumquatdrum_routes::{Record, Setup, Table};
use parking_lot::RwLock;
use slog::{error, info};

use crate::Protocol;

/// A record with its indexes.
#[derive(Debug)]
pub struct InForce {
    /// The record as it was committed.
    pub record: Record,
    /// Its look-ups.
    pub table: Table,
}

/// Holds the record with the highest revision that this host has been told of.
pub struct Store {
    protocol: Arc<dyn Protocol>,
    current: RwLock<Option<Arc<InForce>>>,
    logger: slog::Logger,
}

impl Store {
    /// An empty store.
    pub fn new(protocol: Arc<dyn Protocol>, logger: slog::Logger) -> Self {
        Self {
            protocol,
            current: RwLock::new(None),
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

    /// Takes a committed record of a higher revision; a host never goes back.
    pub fn take(&self, record: &Record, from: &str) -> Option<Arc<InForce>> {
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
