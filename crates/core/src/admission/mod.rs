/*!
Admission control: the limits and fair shares of client accounts.

[`Controller`] tracks per client account the request and token rates, the
requests in progress and the recently used share of the fleet. Each instance
enforces its local part of an account's limits without the others, so the limits
hold while peers and the store are unreachable. [`SKEW_ALLOWANCE`] bounds the
error.
*/

mod fair_shares;
mod token_bucket;

use std::{collections::BTreeMap, time::Duration};

pub use fair_shares::FairShares;
pub use token_bucket::TokenBucket;

use crate::{
    check_invariant,
    clock::Instant,
    ids::AccountId,
    request::{ExecutionState, Refusal, RefusalReason},
    units::Tokens,
};

/// Factor on an instance's even part of a limit, as the load balancer spreads the
/// requests unevenly.
///
/// All instances together admit at most this multiple of an account's rates, and
/// an instance refuses nothing too early as long as it receives at most 1.25 times
/// its even share of the account's traffic.
pub const SKEW_ALLOWANCE: f64 = 1.25;

/// Burst that an account may send, in seconds of its rate.
const BURST_S: f64 = 2.0;

/// `retry_after` of a refusal for another reason than a rate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

crate::data_types! {
    /// Limits of one client account, over all instances together.
    pub struct AccountLimits {
        /// Id of the account.
        pub account: AccountId,
        /// Weight of the account's fair share when capacity is short; above 0.
        pub weight: f64,
        /// Requests per second.
        pub requests_per_s: f64,
        /// Prompt tokens per second.
        pub prompt_tokens_per_s: f64,
        /// Upper bound on the requests in progress.
        pub max_concurrent: u32,
    }
}

#[derive(Clone, Debug)]
struct Account {
    limits: AccountLimits,
    request_bucket: TokenBucket,
    prompt_token_bucket: TokenBucket,
    /// Requests in progress. [`Controller::admit`] keeps it at most the local part
    /// of `limits.max_concurrent`.
    in_progress: u32,
}

/// Admission controller of one instance, for all client accounts.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{admission, clock::Instant, ids::AccountId, units::Tokens};
///
/// let mut controller = admission::Controller::new(1);
/// let account = AccountId::new("dispatch-desk");
/// controller.set_accounts(vec![admission::AccountLimits {
///     account: account.clone(),
///     weight: 1.0,
///     requests_per_s: 10.0,
///     prompt_tokens_per_s: 1e6,
///     max_concurrent: 1,
/// }]);
/// assert!(controller.admit(&account, Tokens(1_000), Instant::ZERO).is_ok());
/// assert!(controller.admit(&account, Tokens(1_000), Instant::ZERO).is_err());
/// controller.end_request(&account);
/// assert!(controller.admit(&account, Tokens(1_000), Instant::ZERO).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct Controller {
    instance_count: u32,
    accounts: BTreeMap<AccountId, Account>,
    shares: FairShares,
}

impl Controller {
    /// Creates a controller without accounts. `instance_count` is the number of
    /// instances that share the traffic; 0 counts as 1.
    pub fn new(instance_count: u32) -> Self {
        Self {
            instance_count: instance_count.max(1),
            accounts: BTreeMap::new(),
            shares: FairShares::default(),
        }
    }

    /// Number of the account's requests in progress at this instance.
    pub fn in_progress(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).map_or(0, |a| a.in_progress)
    }

    /// Sets the number of instances that share the traffic; 0 counts as 1.
    pub fn set_instance_count(&mut self, instance_count: u32) {
        self.instance_count = instance_count.max(1);
    }

    /// Replaces the limits of all accounts. An account that stays keeps its credit
    /// and its count of requests in progress.
    pub fn set_accounts(&mut self, limits: Vec<AccountLimits>) {
        let mut accounts = BTreeMap::new();
        for limits in limits {
            let existing = self.accounts.remove(&limits.account);
            let account = match existing {
                Some(existing) => Account { limits, ..existing },
                None => Account {
                    limits,
                    request_bucket: TokenBucket::default(),
                    prompt_token_bucket: TokenBucket::default(),
                    in_progress: 0,
                },
            };
            accounts.insert(account.limits.account.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Admits or refuses a request. After the end of an admitted request,
    /// [`end_request`](Self::end_request) must be called.
    ///
    /// # Errors
    ///
    /// The refusal to send to the client: the account is not configured, has too
    /// many requests in progress or exceeds one of its rates.
    pub fn admit(&mut self, id: &AccountId, prompt: Tokens, now: Instant) -> Result<(), Refusal> {
        let part = self.local_part();
        let Some(account) = self.accounts.get_mut(id) else {
            return Err(refusal(RefusalReason::NotConfigured, DEFAULT_RETRY_AFTER));
        };
        if account.in_progress >= local_concurrency(&account.limits, part) {
            return Err(refusal(
                RefusalReason::TooManyConcurrent,
                DEFAULT_RETRY_AFTER,
            ));
        }
        let requests_per_s = account.limits.requests_per_s * part;
        let tokens_per_s = account.limits.prompt_tokens_per_s * part;
        account.request_bucket.refill(requests_per_s, BURST_S, now);
        account
            .prompt_token_bucket
            .refill(tokens_per_s, BURST_S, now);
        let wait = account
            .request_bucket
            .time_until_available(1.0, requests_per_s)
            .max(
                account
                    .prompt_token_bucket
                    .time_until_available(prompt.0 as f64, tokens_per_s),
            );
        if let Some(wait) = wait {
            return Err(refusal(RefusalReason::RateLimited, wait));
        }
        account.request_bucket.take(1.0);
        account.prompt_token_bucket.take(prompt.0 as f64);
        account.in_progress += 1;
        self.shares
            .record_prompt(id, account.limits.weight, prompt, now);
        Ok(())
    }

    /// Whether the account recently used more than its fair share.
    pub fn is_over_share(&mut self, id: &AccountId, now: Instant) -> bool {
        self.shares.is_over_share(id, now)
    }

    /// Records the end of an admitted request.
    pub fn end_request(&mut self, id: &AccountId) {
        let Some(account) = self.accounts.get_mut(id) else {
            return;
        };
        check_invariant!(
            account.in_progress > 0,
            "concurrency-balanced",
            "account {id} ended a request, but has none in progress"
        );
        account.in_progress = account.in_progress.saturating_sub(1);
    }

    /// Part of an account's limits that this instance enforces, 0 to 1.
    fn local_part(&self) -> f64 {
        let even_part = 1.0 / f64::from(self.instance_count);
        (even_part * SKEW_ALLOWANCE).min(1.0)
    }
}

/// Local part of the limit on requests in progress, at least 1.
fn local_concurrency(limits: &AccountLimits, part: f64) -> u32 {
    let local = (f64::from(limits.max_concurrent) * part).floor();
    (local as u32).max(1)
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        ran: ExecutionState::NotExecuted,
        retry_after: Some(retry_after),
    }
}
