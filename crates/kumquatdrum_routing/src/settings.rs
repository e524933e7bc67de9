//! Settings of a router.

use std::time::Duration;

/// Settings of a router; all routers of one service should have equal ones, but for `owner`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name under which engines report the attempts they have seen.
    pub owner: String,
    /// The owners of all daemons that share the endpoints, this one included.
    pub owners: Vec<String>,
    /// Prompts up to this length are short, in tokens.
    pub short_tokens: u64,
    /// Prompts from this length on are long, in tokens.
    pub long_tokens: u64,
    /// Tokens of one block of the prefix cache.
    pub block_tokens: u64,
    /// The most blocks that are remembered of one endpoint.
    pub blocks_per_endpoint: usize,
    /// Prompt tokens a second assumed of an engine that never said or showed its rate.
    pub default_rate: f64,
    /// How old a report may be when it arrives.
    pub report_lag: Duration,
    /// The most requests that wait in the queue.
    pub queue_limit: usize,
    /// Engines as a multiple of the short requests' load that are kept clear of long prefills.
    pub short_headroom: f64,
    /// Estimated work before a short request, up to which an engine gets another one.
    pub short_depth: Duration,
    /// The same for a request between short and long; deep, as engines let it pass the long.
    pub medium_depth: Duration,
    /// Estimated work before a long request, up to which an engine gets another one.
    pub long_depth: Duration,
    /// Added to an engine's estimate for each owner that comes before this one there.
    pub rank_step: Duration,
}

impl Settings {
    /// The usual settings for one daemon among several.
    ///
    /// ```
    /// use kumquatdrum_routing::Settings;
    /// let settings = Settings::new("host-1", ["host-1", "host-2"]);
    /// assert_eq!(settings.owners.len(), 2);
    /// ```
    pub fn new(
        owner: impl Into<String>,
        owners: impl IntoIterator<Item = impl Into<String>>,
    ) -> Self {
        Self {
            owner: owner.into(),
            owners: owners.into_iter().map(Into::into).collect(),
            short_tokens: 8_192,
            long_tokens: 65_536,
            block_tokens: 256,
            blocks_per_endpoint: 16_384,
            default_rate: 10_000.0,
            report_lag: Duration::from_secs(2),
            queue_limit: 10_000,
            short_headroom: 2.0,
            short_depth: Duration::from_millis(500),
            medium_depth: Duration::from_secs(5),
            long_depth: Duration::from_secs(1),
            rank_step: Duration::from_millis(250),
        }
    }
}
