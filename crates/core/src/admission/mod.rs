/*!
Decides whether a request is let in.

[`Controller`] holds per client account the rates, the number of requests in
progress and the share of the fleet used of late. Each instance enforces its
part of an account's limits on its own, so the limits hold while peers and the
store are unreachable; the error is stated at [`SKEW_ALLOWANCE`].
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

/// Factor on an instance's part of a limit, as the balancer's spread is uneven.
///
/// It bounds the error: all instances together admit at most this multiple of
/// an account's limit, and one that gets less than 1/1.25 of the traffic that
/// an even spread would give it refuses nothing too early.
pub const SKEW_ALLOWANCE: f64 = 1.25;

/// Seconds of an account's rate that may arrive at once.
const BURST_S: f64 = 2.0;

/// When to come back after a refusal for too many requests in progress.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

crate::data_types! {
    /// Limits of one client account over all instances.
    pub struct AccountLimits {
        /// The account.
        pub account: AccountId,
        /// Weight of its fair share when capacity is short; above 0.
        pub weight: f64,
        /// Requests a second.
        pub requests_per_s: f64,
        /// Prompt tokens a second.
        pub prompt_tokens_per_s: f64,
        /// Requests in progress.
        pub max_concurrent: u32,
    }
}

#[derive(Clone, Debug)]
struct Account {
    limits: AccountLimits,
    requests: TokenBucket,
    tokens: TokenBucket,
    /// Invariant: at most the local part of `limits.max_concurrent`.
    in_progress: u32,
}

/// The limits of all accounts at one instance.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{admission, clock::Instant, ids::AccountId, units::Tokens};
///
/// let mut gate = admission::Controller::new(1);
/// let account = AccountId::new("dispatch-desk");
/// gate.set_accounts(vec![admission::AccountLimits {
///     account: account.clone(),
///     weight: 1.0,
///     requests_per_s: 10.0,
///     prompt_tokens_per_s: 1e6,
///     max_concurrent: 1,
/// }]);
/// assert!(gate.admit(&account, Tokens(1_000), Instant::ZERO).is_ok());
/// assert!(gate.admit(&account, Tokens(1_000), Instant::ZERO).is_err());
/// gate.end_request(&account);
/// assert!(gate.admit(&account, Tokens(1_000), Instant::ZERO).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct Controller {
    instances: u32,
    accounts: BTreeMap<AccountId, Account>,
    shares: FairShares,
}

impl Controller {
    /// Creates a gate for one of `instances` that share the traffic.
    pub fn new(instances: u32) -> Self {
        Self {
            instances: instances.max(1),
            accounts: BTreeMap::new(),
            shares: FairShares::default(),
        }
    }

    /// Requests of the account in progress at this instance.
    pub fn in_progress(&self, account: &AccountId) -> u32 {
        self.accounts.get(account).map_or(0, |a| a.in_progress)
    }

    /// Sets how many instances share the traffic.
    pub fn set_instance_count(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Replaces the limits; requests in progress stay counted.
    pub fn set_accounts(&mut self, limits: Vec<AccountLimits>) {
        let mut accounts = BTreeMap::new();
        for limits in limits {
            let known = self.accounts.remove(&limits.account);
            let account = match known {
                Some(known) => Account { limits, ..known },
                None => Account {
                    limits,
                    requests: TokenBucket::default(),
                    tokens: TokenBucket::default(),
                    in_progress: 0,
                },
            };
            accounts.insert(account.limits.account.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Admits a request, or says why not. An admitted one must be reported
    /// back with [`end_request`](Self::end_request).
    ///
    /// # Errors
    ///
    /// The refusal to give to the caller.
    pub fn admit(&mut self, id: &AccountId, prompt: Tokens, now: Instant) -> Result<(), Refusal> {
        let part = self.part();
        let Some(account) = self.accounts.get_mut(id) else {
            return Err(refusal(RefusalReason::NotConfigured, CONCURRENCY_RETRY));
        };
        if account.in_progress >= local_concurrency(&account.limits, part) {
            return Err(refusal(RefusalReason::TooManyConcurrent, CONCURRENCY_RETRY));
        }
        let requests_per_s = account.limits.requests_per_s * part;
        let tokens_per_s = account.limits.prompt_tokens_per_s * part;
        account.requests.refill(requests_per_s, BURST_S, now);
        account.tokens.refill(tokens_per_s, BURST_S, now);
        let wait = account
            .requests
            .wait_for(1.0, requests_per_s)
            .max(account.tokens.wait_for(prompt.0 as f64, tokens_per_s));
        if let Some(wait) = wait {
            return Err(refusal(RefusalReason::RateLimited, wait));
        }
        account.requests.take(1.0);
        account.tokens.take(prompt.0 as f64);
        account.in_progress += 1;
        self.shares.used(id, account.limits.weight, prompt, now);
        Ok(())
    }

    /// Whether the account used more than its fair share of late.
    pub fn is_over_share(&mut self, id: &AccountId, now: Instant) -> bool {
        self.shares.is_over_share(id, now)
    }

    /// Notes the end of an admitted request.
    pub fn end_request(&mut self, id: &AccountId) {
        let Some(account) = self.accounts.get_mut(id) else {
            return;
        };
        check_invariant!(
            account.in_progress > 0,
            "concurrency-balanced",
            "account {id} ended a request that was not in progress"
        );
        account.in_progress = account.in_progress.saturating_sub(1);
    }

    fn part(&self) -> f64 {
        let even = 1.0 / f64::from(self.instances);
        (even * SKEW_ALLOWANCE).min(1.0)
    }
}

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
