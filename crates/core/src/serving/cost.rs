//! What a prompt costs an engine, and the streams that run beside it.
//!
//! An engine works in passes. A pass without writers is one step; with writers
//! it is as many steps as an event has tokens, and everything that waits to be
//! read is read in it, up to a chunk per step. Reading time grows with the
//! square of the prompt. A pass is therefore both the pause between two events
//! of every stream on the engine and the time that a new prompt waits.

use std::time::Duration;

use crate::units::Tokens;

/// Prompt tokens that raise the value of a stream by one unit, from the ratio
/// between short and long prompts in the users' sheets.
const VALUE_TOKENS: f64 = 13_000.0;

crate::values! {
    /// Speed and size of a service's engines, as the service declares them.
    #[derive(Copy)]
    pub struct EngineModel {
        /// Time of a step without load, in ms.
        pub step_ms: f64,
        /// Time that each writer adds to a step, in ms.
        pub per_stream_ms: f64,
        /// Time that each thousand tokens of a writer's context add to a step,
        /// in ms.
        pub per_1k_context_ms: f64,
        /// Prompt tokens that are read in a millisecond.
        pub prefill_tokens_per_ms: f64,
        /// Time for a million pairs of a token and an earlier one, in ms.
        pub per_million_pairs_ms: f64,
        /// Steps of a pass with writers; above 0.
        pub steps_per_iteration: u32,
        /// KV memory.
        pub memory: Tokens,
        /// Requests that run at a time.
        pub slots: u32,
    }
}

impl EngineModel {
    /// Time to read a prompt on one engine that does nothing else.
    ///
    /// # Example
    ///
    /// ```
    /// use cyclamengauge_core::{serving::cost::EngineModel, units::Tokens};
    ///
    /// let model = EngineModel {
    ///     step_ms: 0.925,
    ///     per_stream_ms: 0.00483,
    ///     per_1k_context_ms: 0.00254,
    ///     prefill_tokens_per_ms: 256.0,
    ///     per_million_pairs_ms: 0.0917,
    ///     steps_per_iteration: 46,
    ///     memory: Tokens(450_000),
    ///     slots: 16,
    /// };
    /// assert_eq!(model.prefill_time(Tokens(5_000)).as_millis(), 20);
    /// assert_eq!(model.prefill_time(Tokens(210_000)).as_millis(), 2_842);
    /// ```
    pub fn prefill_time(&self, prompt: Tokens) -> Duration {
        let tokens = prompt.0 as f64;
        let pairs_m = tokens * tokens / 2.0 / 1e6;
        let ms = tokens / self.prefill_tokens_per_ms + pairs_m * self.per_million_pairs_ms;
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Value of a stream that is answered in time, in units of a very short one.
    /// Callers don't state it; the length of the prompt stands for it.
    pub fn value(&self, prompt: Tokens) -> f64 {
        1.0 + prompt.0 as f64 / VALUE_TOKENS
    }

    /// Time of a pass in which nothing is read.
    pub fn iteration_time(&self, writers: u32, context: Tokens) -> Duration {
        let per_step = self.step_ms
            + self.per_stream_ms * f64::from(writers)
            + self.per_1k_context_ms * context.0 as f64 / 1e3;
        let steps = if writers == 0 {
            1
        } else {
            self.steps_per_iteration
        };
        Duration::from_secs_f64(per_step * f64::from(steps) / 1e3)
    }
}
