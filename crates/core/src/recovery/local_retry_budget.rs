//! Retry budget of one instance, which keeps retries from amplifying an outage.

/// Credit earned by each first attempt, in retries.
const CREDIT_PER_FIRST_ATTEMPT: f64 = 0.2;

/// Credit at the start and upper bound on the credit, in retries. An instance
/// without traffic keeps its credit and can retry a few failures.
const MAX_CREDIT: f64 = 20.0;

/// Credit for retries, earned by first attempts.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::recovery::local_retry_budget::LocalRetryBudget;
///
/// let mut budget = LocalRetryBudget::default();
/// let allowed = (0..100).filter(|_| budget.try_take()).count();
/// assert_eq!(allowed, 20);
/// ```
#[derive(Clone, Debug)]
pub struct LocalRetryBudget {
    /// Retries that are allowed now, at most [`MAX_CREDIT`].
    credit: f64,
}

impl LocalRetryBudget {
    /// Adds the credit for the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        self.credit = (self.credit + CREDIT_PER_FIRST_ATTEMPT).min(MAX_CREDIT);
    }

    /// Takes the credit for one retry and returns whether it was available.
    pub fn try_take(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

impl Default for LocalRetryBudget {
    fn default() -> Self {
        Self { credit: MAX_CREDIT }
    }
}
