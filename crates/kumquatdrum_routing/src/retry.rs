//! The retry budget: keeps attempts within a bounded multiple of requests, which prevents retry
//! storms.

/// The budget earned by one request, in hundredths of a retry.
const EARNED_PER_REQUEST: u64 = 15;
/// The cost of one retry, in hundredths.
const RETRY_COST: u64 = 100;
/// The largest budget, in hundredths: a burst of twenty retries.
const MAX_SAVED: u64 = 20 * RETRY_COST;

/// The retry budget of one service. It starts with one retry, so that a single request survives the
/// failure of its endpoint. Attempts stay below 1.2 times the requests from the 21st request on.
///
/// ```
/// use kumquatdrum_routing::retry::Budget;
/// let mut budget = Budget::default();
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// (0..7).for_each(|_| budget.record_request());
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// ```
#[derive(Debug)]
pub struct Budget {
    saved: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: RETRY_COST }
    }
}

impl Budget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes one retry; returns `false` if none is left.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let rest = self.saved.checked_sub(RETRY_COST);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
