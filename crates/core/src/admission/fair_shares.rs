//! Weighted fair shares of the prompt tokens admitted of late.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, ids::AccountId, units::Tokens};

/// Time over which use is averaged.
const WINDOW: Duration = Duration::from_secs(10);

/// An account below this use, in prompt tokens, takes part in no comparison.
const IDLE: f64 = 1.0;

/// Margin by which an account may be above its share.
const MARGIN: f64 = 1.1;

#[derive(Clone, Debug, Default)]
struct Use {
    weight: f64,
    tokens: f64,
    updated_at: Instant,
}

impl Use {
    fn decay(&mut self, now: Instant) {
        let elapsed = (now - self.updated_at).as_secs_f64();
        self.tokens *= (-elapsed / WINDOW.as_secs_f64()).exp();
        self.updated_at = now;
    }
}

/// Use of the fleet by account, decaying with time.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    uses: BTreeMap<AccountId, Use>,
}

impl FairShares {
    /// Notes that an account's request was admitted.
    pub fn used(&mut self, account: &AccountId, weight: f64, prompt: Tokens, now: Instant) {
        let known = self.uses.entry(account.clone()).or_default();
        known.decay(now);
        known.weight = weight;
        known.tokens += prompt.0 as f64;
    }

    /// Whether the account used more than its weight's part of the whole, among
    /// the accounts active of late. A sole account never does.
    pub fn is_over_share(&mut self, account: &AccountId, now: Instant) -> bool {
        self.uses.values_mut().for_each(|known| known.decay(now));
        self.uses.retain(|_, known| known.tokens > IDLE);
        let Some(own) = self.uses.get(account) else {
            return false;
        };
        let weights: f64 = self.uses.values().map(|known| known.weight).sum();
        let total: f64 = self.uses.values().map(|known| known.tokens).sum();
        let fair = total * own.weight / weights.max(1e-9);
        self.uses.len() > 1 && own.tokens > fair * MARGIN
    }
}
