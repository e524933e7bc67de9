//! What daemons say to each other about the setup in force.

use kumquatdrum_types::{BootId, HostId, Version};
use serde::{Deserialize, Serialize};

use super::Text;

/// One message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender has; the answer to a question that brings nothing higher too.
    Have(Have),
    /// What the sender holds, asking for anything higher.
    Ask {
        /// The version; 0 where it holds none.
        version: Version,
        /// The beginning of its digest.
        #[serde(rename = "mark")]
        digest_prefix: u64,
    },
    /// A version that the receiver lacks.
    #[serde(rename = "News")]
    Transfer(Transfer),
}

/// What a host has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// The host's own status.
    pub status: Status,
    /// Versions in force on hosts of the sender's data centre, as far as they are news.
    pub hosts: Vec<(HostId, BootId, Version)>,
    /// Whether the sender wants to know what the receiver has.
    pub reply: bool,
}

/// The short word on a host's setup that rides on other messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The version in force; 0 where there is none.
    pub version: Version,
    /// The beginning of its digest.
    #[serde(rename = "mark")]
    pub digest_prefix: u64,
    /// Whether it serves: it has asked around since its start.
    pub is_ready: bool,
    /// How long ago it had first-hand word of a majority of control replicas, in milliseconds.
    pub majority_age_millis: Option<u32>,
}

/// A version on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The version.
    pub version: Version,
    /// The digest of its text.
    pub digest: String,
    /// The text.
    pub text: Text,
}
