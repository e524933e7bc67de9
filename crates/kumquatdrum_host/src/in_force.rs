//! The declaration that this host goes by.

use std::sync::Arc;

use kumquatdrum_declaration::{Declaration, Index};
use kumquatdrum_setup::in_force::Offer;
use kumquatdrum_types::Version;
use parking_lot::RwLock;
use tokio::sync::watch;

/// One version, ready for look-ups.
#[derive(Debug)]
pub struct Current {
    /// What was accepted.
    pub offer: Offer,
    /// Look-ups into it.
    pub index: Index,
}

/// The version in force on this host. It only ever rises.
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
    /// The version in force, once one is known.
    pub fn current(&self) -> Option<Arc<Current>> {
        self.current.read().clone()
    }

    /// Takes a version if it is higher than the one in force; tells whether it was.
    pub fn offer(&self, offer: Offer) -> bool {
        let known = self.current().map(|current| current.offer.version);
        if known.is_some_and(|known| known >= offer.version) {
            return false;
        }
        let declaration = read(&offer.text);
        let next = Arc::new(Current {
            index: Index::new(Arc::new(declaration)),
            offer,
        });
        let mut current = self.current.write();
        let newer = current
            .as_ref()
            .is_none_or(|current| current.offer.version < next.offer.version);
        if newer {
            let version = next.offer.version;
            *current = Some(next);
            self.changed.send_replace(version);
        }
        newer
    }

    /// Follows the version in force.
    pub fn follow(&self) -> watch::Receiver<Version> {
        self.changed.subscribe()
    }
}

/// An accepted text has no findings; the empty text of version 0 declares nothing.
fn read(text: &str) -> Declaration {
    kumquatdrum_declaration::parse(text).unwrap_or_default()
}
