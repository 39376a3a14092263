//! Sizes and rates, each with its unit.

use std::{
    iter::Sum,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

crate::quantity! {
    /// A number of tokens, of a prompt, an answer or of KV memory.
    ///
    /// Subtraction stops at zero.
    pub struct Tokens(u64) in "tokens";

    /// Speed at which an engine reads prompts.
    pub struct TokensPerSecond(f64) in "tokens/s";
}

impl Eq for Tokens {}

impl Tokens {
    /// The smaller of two numbers of tokens.
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
    /// Time for which this rate needs to get through `tokens`.
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
        Duration::from_secs_f64(tokens.0 as f64 / self.0.max(1.0))
    }
}
