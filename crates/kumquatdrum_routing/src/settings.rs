//! Settings of a router.

use std::time::Duration;

/// Settings of a router; all routers of one service should have the same, except for `owner`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of this daemon, under which engines report its attempts.
    pub owner: String,
    /// The names of the daemons that share the endpoints, including this one.
    pub owners: Vec<String>,
    /// The longest prompt that is short, in tokens.
    pub short_tokens: u64,
    /// The shortest prompt that is long, in tokens.
    pub long_tokens: u64,
    /// The tokens of one block of the prefix cache.
    pub block_tokens: u64,
    /// The most cached blocks that are tracked per endpoint.
    pub blocks_per_endpoint: usize,
    /// The prompt tokens per second assumed for an engine without announced or observed rate.
    pub default_rate: f64,
    /// The largest age of a load report on arrival.
    pub report_lag: Duration,
    /// The most waiting requests.
    pub queue_limit: usize,
    /// Engines kept clear of medium and long prefills, as a multiple of those that short requests
    /// need.
    pub short_headroom: f64,
    /// The estimated backlog up to which an engine gets another short request.
    pub short_depth: Duration,
    /// The estimated backlog up to which an engine gets another medium request; larger, because
    /// engines run it before long ones.
    pub medium_depth: Duration,
    /// The estimated backlog up to which an engine gets another long request.
    pub long_depth: Duration,
    /// The time added to an engine's estimate for a long or spanning request, for each owner with
    /// precedence there.
    pub rank_step: Duration,
}

impl Settings {
    /// Returns the default settings of one of several daemons.
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
