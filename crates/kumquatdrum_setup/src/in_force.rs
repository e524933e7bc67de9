//! What a daemon without a disk keeps of the setup: the highest version that it was told.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_declaration::{Declaration, Index};
use kumquatdrum_types::{Finding, Moment, Version};
use serde::{Deserialize, Serialize};

use crate::control::{Shown, Standing};
use crate::{Digest, history};

/// A version on its way from host to host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Which version.
    pub version: Version,
    /// The digest of its text.
    pub digest: Digest,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// The file, byte for byte.
    pub text: Arc<str>,
}

/// What became of an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It is in force here now.
    Taken,
    /// It is the one in force.
    Known,
    /// A higher one is in force, and stays.
    Older,
    /// The text isn't the one that was accepted; the offer was damaged on its way.
    Damaged,
    /// The same version with another text is in force. That must never be; it stays.
    Diverged,
    /// This release can't read the text; the version before it stays in force.
    Unreadable(Vec<Finding>),
}

/// The version in force on one host.
///
/// ```
/// use kumquatdrum_setup::InForce;
/// use kumquatdrum_types::Version;
/// assert_eq!(InForce::default().version(), Version(0));
/// ```
#[derive(Debug, Clone)]
pub struct InForce {
    offer: Offer,
    index: Arc<Index>,
    unreadable: Option<Version>,
    majority: Option<Majority>,
}

/// When a majority of the control replicas was last heard of.
#[derive(Debug, Clone, Copy)]
struct Majority {
    at: Moment,
    unix_ms: u64,
}

impl Default for InForce {
    fn default() -> Self {
        Self {
            offer: Offer {
                version: Version(0),
                digest: Digest::of(history::EMPTY.as_bytes()),
                accepted_unix_ms: 0,
                text: Arc::from(history::EMPTY),
            },
            index: Arc::new(Index::new(Arc::new(Declaration::default()))),
            unreadable: None,
            majority: None,
        }
    }
}

impl InForce {
    /// Takes an offer if it is a higher version, whole and readable.
    pub fn offer(&mut self, offer: &Offer) -> Taken {
        match offer.version {
            version if version < self.offer.version => return Taken::Older,
            version if version > self.offer.version => {}
            _ if offer.digest == self.offer.digest => return Taken::Known,
            _ => return Taken::Diverged,
        }
        if Digest::of(offer.text.as_bytes()) != offer.digest {
            return Taken::Damaged;
        }
        match kumquatdrum_declaration::parse(&offer.text) {
            Ok(declaration) => self.take(offer, declaration),
            Err(findings) => {
                self.unreadable = self.unreadable.max(Some(offer.version));
                Taken::Unreadable(findings)
            }
        }
    }

    fn take(&mut self, offer: &Offer, declaration: Declaration) -> Taken {
        self.offer = offer.clone();
        self.index = Arc::new(Index::new(Arc::new(declaration)));
        self.unreadable = self.unreadable.filter(|version| *version > offer.version);
        Taken::Taken
    }

    /// Notes that a majority spoke at `now`, which is `unix_ms` on the wall clock.
    pub fn heard_majority(&mut self, now: Moment, unix_ms: u64) {
        let at = self.majority.map_or(now, |majority| majority.at.max(now));
        self.majority = Some(Majority { at, unix_ms });
    }

    /// How long no majority has been heard of; `None` if none ever was.
    pub fn silence(&self, now: Moment) -> Option<Duration> {
        self.majority.map(|majority| now - majority.at)
    }

    /// How sure this host is: the last known version, as of when a majority last spoke.
    pub fn standing(&self) -> Standing {
        Standing::LastKnown {
            as_of_unix_ms: self.majority.map(|majority| majority.unix_ms),
        }
    }

    /// The version in force here.
    pub fn version(&self) -> Version {
        self.offer.version
    }

    /// What to offer to others.
    pub fn offered(&self) -> &Offer {
        &self.offer
    }

    /// The declaration in force here.
    pub fn declaration(&self) -> &Arc<Declaration> {
        self.index.declaration()
    }

    /// The look-ups into the declaration in force here.
    pub fn index(&self) -> &Arc<Index> {
        &self.index
    }

    /// The highest version that this release couldn't read, if it is above the one in force.
    pub fn unreadable(&self) -> Option<Version> {
        self.unreadable
    }

    /// The read-back of this host alone.
    pub fn shown(&self) -> Shown {
        Shown {
            version: self.offer.version,
            digest: self.offer.digest,
            accepted_unix_ms: self.offer.accepted_unix_ms,
            standing: self.standing(),
            text: Arc::clone(&self.offer.text),
        }
    }
}
