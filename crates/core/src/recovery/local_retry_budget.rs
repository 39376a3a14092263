//! A budget that keeps retries from amplifying an outage.

/// Credit earned by each first try.
const EARNED_PER_REQUEST: f64 = 0.2;

/// Credit that a quiet instance keeps, so that a few failures are retried even
/// without traffic.
const MOST_CREDIT: f64 = 20.0;

/// Retries allowed, as a share of first tries.
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
    credit: f64,
}

impl LocalRetryBudget {
    /// Notes a first try.
    pub fn record_first_attempt(&mut self) {
        self.credit = (self.credit + EARNED_PER_REQUEST).min(MOST_CREDIT);
    }

    /// Takes the credit for one retry; false if there is none.
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
        Self {
            credit: MOST_CREDIT,
        }
    }
}
