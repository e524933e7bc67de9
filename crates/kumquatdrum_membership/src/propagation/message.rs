//! Messages between daemons about the setup in force.

use kumquatdrum_types::{BootId, HostId, Version};
use serde::{Deserialize, Serialize};

use super::Text;

/// Message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Version in force on the sender; also the response to a request without a higher version.
    Have(Have),
    /// Request for any version higher than the sender's.
    Ask {
        /// Version in force on the sender, or 0 if there is none.
        version: Version,
        /// First eight bytes of the digest of its text.
        #[serde(rename = "mark")]
        digest_prefix: u64,
    },
    /// Version that the receiver lacks.
    #[serde(rename = "News")]
    Transfer(Transfer),
}

/// Status of a host and known versions of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Have {
    /// Status of the sender.
    pub status: Status,
    /// Versions in force on hosts of the sender's data centre, if they changed recently.
    pub hosts: Vec<(HostId, BootId, Version)>,
    /// Whether the sender requests the receiver's status in return.
    pub is_reply_requested: bool,
}

/// Status of a host's setup, piggybacked on other messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Version in force, or 0 if there is none.
    pub version: Version,
    /// First eight bytes of the digest of its text.
    #[serde(rename = "mark")]
    pub digest_prefix: u64,
    /// Whether the host has completed its startup and serves.
    pub is_ready: bool,
    /// Time since the last direct contact with a majority of control replicas, in milliseconds.
    pub majority_age_ms: Option<u32>,
}

/// Version with its complete text or a delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Transferred version.
    pub version: Version,
    /// Digest of the complete text.
    pub digest: String,
    /// Complete text or a delta.
    pub text: Text,
}
