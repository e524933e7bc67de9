//! Reads the run counts of stand-ins, to compare them with the answers.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;

use crate::client::Identity;

/// Run counts, as the control port of a stand-in returns them.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Runs by the SHA-256 of the prompt.
    pub runs_by_digest: IndexMap<String, u32>,
    /// Runs by test key.
    pub runs_by_key: IndexMap<String, u32>,
}

impl Counts {
    /// Adds the counts of another stand-in.
    pub fn add(&mut self, other: Self) {
        for (digest, runs) in other.runs_by_digest {
            *self.runs_by_digest.entry(digest).or_default() += runs;
        }
        for (key, runs) in other.runs_by_key {
            *self.runs_by_key.entry(key).or_default() += runs;
        }
    }

    /// Returns how often a request ran.
    ///
    /// ```
    /// use kumquatdrum_replay::{client::Identity, counters::Counts};
    /// assert_eq!(Counts::default().runs(&Identity::Key("k".into())), 0);
    /// ```
    pub fn runs(&self, identity: &Identity) -> u32 {
        let runs = match identity {
            Identity::Digest(digest) => self.runs_by_digest.get(digest),
            Identity::Key(key) => self.runs_by_key.get(key),
        };
        runs.copied().unwrap_or(0)
    }
}

/// Reads the counts from the control ports of stand-ins and returns their sum.
pub async fn read(http: &reqwest::Client, controls: &[SocketAddr]) -> reqwest::Result<Counts> {
    let mut sum = Counts::default();
    for control in controls {
        let answer = http
            .get(format!("http://{control}/counters"))
            .send()
            .await?;
        sum.add(answer.error_for_status()?.json().await?);
    }
    Ok(sum)
}
