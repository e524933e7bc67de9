//! The retry budget: attempts stay a bounded multiple of requests, so that a fault makes no storm.

/// Retries earned by one request, in hundredths.
const EARNED: u64 = 15;
/// What one retry costs, in hundredths.
const COST: u64 = 100;
/// The most that is saved up, in hundredths: a burst of twenty retries.
const MOST: u64 = 20 * COST;

/// The retry budget of one service. One retry is saved up from the start, so that a lone
/// request survives its endpoint. Attempts stay below 1.2 times the requests from the 21st request
/// on.
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
        Self { saved: COST }
    }
}

impl Budget {
    /// Notes a request, at its first attempt.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST);
    }

    /// Takes one retry out; `false` where none is left.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        let rest = self.saved.checked_sub(COST);
        self.saved = rest.unwrap_or(self.saved);
        rest.is_some()
    }
}
