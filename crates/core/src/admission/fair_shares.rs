//! Weighted fair shares of the recently admitted prompt tokens.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, ids::AccountId, units::Tokens};

/// Time constant of the exponential decay of recorded use.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Decayed use, in prompt tokens, at or below which an account is inactive and
/// left out of the comparison.
const INACTIVE_TOKENS: f64 = 1.0;

/// Multiple of its fair share that an account may use.
const SHARE_TOLERANCE: f64 = 1.1;

#[derive(Clone, Debug, Default)]
struct Usage {
    weight: f64,
    /// Admitted prompt tokens, decayed to `updated_at`.
    tokens: f64,
    updated_at: Instant,
}

impl Usage {
    fn decay(&mut self, now: Instant) {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.tokens *= (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.updated_at = now;
    }
}

/// Recently admitted prompt tokens by client account, decaying with time.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    usages: BTreeMap<AccountId, Usage>,
}

impl FairShares {
    /// Records the prompt of an admitted request.
    pub fn record_prompt(
        &mut self,
        account: &AccountId,
        weight: f64,
        prompt: Tokens,
        now: Instant,
    ) {
        let usage = self.usages.entry(account.clone()).or_default();
        usage.decay(now);
        usage.weight = weight;
        usage.tokens += prompt.0 as f64;
    }

    /// Whether the account used more than `SHARE_TOLERANCE` times its weighted
    /// share of the tokens of all active accounts. False for a sole account.
    pub fn is_over_share(&mut self, account: &AccountId, now: Instant) -> bool {
        self.usages.values_mut().for_each(|usage| usage.decay(now));
        self.usages
            .retain(|_, usage| usage.tokens > INACTIVE_TOKENS);
        let Some(own) = self.usages.get(account) else {
            return false;
        };
        let total_weight: f64 = self.usages.values().map(|usage| usage.weight).sum();
        let total_tokens: f64 = self.usages.values().map(|usage| usage.tokens).sum();
        let fair_tokens = total_tokens * own.weight / total_weight.max(1e-9);
        self.usages.len() > 1 && own.tokens > fair_tokens * SHARE_TOLERANCE
    }
}
