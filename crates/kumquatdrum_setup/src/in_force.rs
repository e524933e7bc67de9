//! The version in force on a host without a replica: the highest one that it was offered.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_declaration::{Declaration, Index};
use kumquatdrum_types::{Finding, Moment, Version};
use serde::{Deserialize, Serialize};

use crate::control::{Revision, Standing};
use crate::{Digest, history};

/// A version with its text, as offered by one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The offered version.
    pub version: Version,
    /// The digest of the text.
    pub digest: Digest,
    /// When the version was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// The declaration's text, byte for byte.
    pub text: Arc<str>,
}

/// The outcome of an offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The offered version is in force now.
    Accepted,
    /// The offered version was in force already.
    AlreadyActive,
    /// A higher version stays in force.
    Outdated,
    /// The text does not match its digest.
    Corrupted,
    /// The same version stays in force with another text, which replication must never cause.
    Diverged,
    /// This release can't parse the text; the earlier version stays in force.
    Unreadable(Vec<Finding>),
}

/// The version in force on one host.
///
/// ```
/// use kumquatdrum_setup::Setup;
/// use kumquatdrum_types::Version;
/// assert_eq!(Setup::default().version(), Version(0));
/// ```
#[derive(Debug, Clone)]
pub struct Setup {
    offer: Offer,
    index: Arc<Index>,
    unreadable_version: Option<Version>,
    last_contact: Option<Contact>,
}

/// The last contact with a majority of the control replicas.
#[derive(Debug, Clone, Copy)]
struct Contact {
    at: Moment,
    unix_ms: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            offer: Offer {
                version: Version(0),
                digest: Digest::of(history::EMPTY_TEXT.as_bytes()),
                accepted_unix_ms: 0,
                text: Arc::from(history::EMPTY_TEXT),
            },
            index: Arc::new(Index::new(Arc::new(Declaration::default()))),
            unreadable_version: None,
            last_contact: None,
        }
    }
}

impl Setup {
    /// Puts an offered version in force if it is higher, intact and readable.
    pub fn accept(&mut self, offer: &Offer) -> Outcome {
        match offer.version {
            version if version < self.offer.version => return Outcome::Outdated,
            version if version > self.offer.version => {}
            _ if offer.digest == self.offer.digest => return Outcome::AlreadyActive,
            _ => return Outcome::Diverged,
        }
        if Digest::of(offer.text.as_bytes()) != offer.digest {
            return Outcome::Corrupted;
        }
        match kumquatdrum_declaration::parse(&offer.text) {
            Ok(declaration) => self.install(offer, declaration),
            Err(findings) => {
                self.unreadable_version = self.unreadable_version.max(Some(offer.version));
                Outcome::Unreadable(findings)
            }
        }
    }

    fn install(&mut self, offer: &Offer, declaration: Declaration) -> Outcome {
        self.offer = offer.clone();
        self.index = Arc::new(Index::new(Arc::new(declaration)));
        self.unreadable_version = self
            .unreadable_version
            .filter(|version| *version > offer.version);
        Outcome::Accepted
    }

    /// Records contact with a majority at `now`, which is `unix_ms` on the wall clock.
    pub fn record_majority_contact(&mut self, now: Moment, unix_ms: u64) {
        let at = self.last_contact.map_or(now, |contact| contact.at.max(now));
        self.last_contact = Some(Contact { at, unix_ms });
    }

    /// Returns the time since the last contact with a majority; `None` if there was none.
    pub fn time_since_majority(&self, now: Moment) -> Option<Duration> {
        self.last_contact.map(|contact| now - contact.at)
    }

    /// Returns the freshness of the version: last known, as of the last contact with a majority.
    pub fn standing(&self) -> Standing {
        Standing::LastKnown {
            as_of_unix_ms: self.last_contact.map(|contact| contact.unix_ms),
        }
    }

    /// Returns the version in force on this host.
    pub fn version(&self) -> Version {
        self.offer.version
    }

    /// Returns the version in force as an offer to other hosts.
    pub fn current_offer(&self) -> &Offer {
        &self.offer
    }

    /// Returns the declaration in force on this host.
    pub fn declaration(&self) -> &Arc<Declaration> {
        self.index.declaration()
    }

    /// Returns the index of the declaration in force on this host.
    pub fn index(&self) -> &Arc<Index> {
        &self.index
    }

    /// Returns the highest version that this release couldn't parse, if it is above the one in
    /// force.
    pub fn unreadable_version(&self) -> Option<Version> {
        self.unreadable_version
    }

    /// Returns the version in force on this host, unconfirmed by a majority.
    pub fn revision(&self) -> Revision {
        Revision {
            version: self.offer.version,
            digest: self.offer.digest,
            accepted_unix_ms: self.offer.accepted_unix_ms,
            standing: self.standing(),
            text: Arc::clone(&self.offer.text),
        }
    }
}
