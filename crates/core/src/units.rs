//! Sizes and rates as types that carry their unit.

use std::{
    iter::Sum,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use crate::clock;

crate::quantity! {
    /// Number of tokens in a prompt, in a response or in KV memory.
    ///
    /// Addition and subtraction saturate.
    pub struct Tokens(u64) in "tokens";

    /// Prefill rate of an engine.
    pub struct TokensPerSecond(f64) in "tokens/s";

    /// Rate of requests to a target.
    pub struct RequestsPerSecond(f64) in "requests/s";

    /// Bandwidth of a network link.
    pub struct MegabitsPerSecond(f64) in "Mbit/s";
}

impl Eq for Tokens {}

impl Tokens {
    /// Returns the smaller of both.
    pub fn min(self, other: Self) -> Self {
        Self(self.0.min(other.0))
    }
}

impl PartialOrd<u64> for Tokens {
    fn partial_cmp(&self, other: &u64) -> Option<std::cmp::Ordering> {
        self.0.partial_cmp(other)
    }
}

impl PartialEq<u64> for Tokens {
    fn eq(&self, other: &u64) -> bool {
        self.0 == *other
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self(0), Add::add)
    }
}

impl TokensPerSecond {
    /// Time to process `tokens` at this rate. A rate below 1 token/s counts as 1.
    ///
    /// # Example
    ///
    /// ```
    /// use cyclamengauge_core::units::{Tokens, TokensPerSecond};
    ///
    /// let rate = TokensPerSecond(50_000.0);
    /// assert_eq!(rate.time_for(Tokens(100_000)).as_secs(), 2);
    /// ```
    pub fn time_for(self, tokens: Tokens) -> Duration {
        clock::duration_from_secs(tokens.0 as f64 / self.0.max(1.0))
    }
}

impl MegabitsPerSecond {
    /// The bandwidth in whole Mbit/s.
    pub fn rounded(self) -> u32 {
        self.0.round() as u32
    }

    /// Time to carry `bytes` at this rate. A rate below 0.001 Mbit/s counts as that.
    pub fn time_for(self, bytes: usize) -> Duration {
        clock::duration_from_secs(bytes as f64 * 8.0 / 1e6 / self.0.max(1e-3))
    }
}
