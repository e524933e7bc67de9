//! The declaration in force on this host.

use std::sync::Arc;

use kumquatdrum_declaration::{Declaration, Index};
use kumquatdrum_setup::in_force::Offer;
use kumquatdrum_types::Version;
use parking_lot::RwLock;
use tokio::sync::watch;

/// A version of the declaration with its index.
#[derive(Debug)]
pub struct Current {
    /// The accepted text and its version.
    pub offer: Offer,
    /// The index of the declaration.
    pub index: Index,
}

/// Holds the version in force on this host, which never decreases.
#[derive(Debug)]
pub struct Store {
    current: RwLock<Option<Arc<Current>>>,
    changed: watch::Sender<Version>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            current: RwLock::new(None),
            changed: watch::Sender::new(Version(0)),
        }
    }
}

impl Store {
    /// Returns the version in force, once one is known.
    pub fn current(&self) -> Option<Arc<Current>> {
        self.current.read().clone()
    }

    /// Puts a version in force if it is higher than the current one, and returns whether it was
    /// higher.
    pub fn offer(&self, offer: Offer) -> bool {
        let known = self.current().map(|current| current.offer.version);
        if known.is_some_and(|known| known >= offer.version) {
            return false;
        }
        let declaration = parse(&offer.text);
        let next = Arc::new(Current {
            index: Index::new(Arc::new(declaration)),
            offer,
        });
        let mut current = self.current.write();
        let is_newer = current
            .as_ref()
            .is_none_or(|current| current.offer.version < next.offer.version);
        if is_newer {
            let version = next.offer.version;
            *current = Some(next);
            self.changed.send_replace(version);
        }
        is_newer
    }

    /// Subscribes to the version in force.
    pub fn subscribe(&self) -> watch::Receiver<Version> {
        self.changed.subscribe()
    }
}

/// Parses an accepted text, which has no findings. The empty text of version 0 declares nothing.
fn parse(text: &str) -> Declaration {
    kumquatdrum_declaration::parse(text).unwrap_or_default()
}
