//! Cost of a prompt to an engine and to the streams on it.
//!
//! An engine works in iterations. An iteration without decoding streams is one
//! step. With decoding streams it has as many steps as an event has tokens, and all
//! queued prompt parts are prefilled in it, up to one chunk per step. Prefill time
//! grows with the square of the prompt length. The length of an iteration is
//! therefore both the gap between two events of every stream on the engine and the
//! wait of a new prompt.

use std::time::Duration;

use crate::{clock, units::Tokens};

/// Prompt tokens per unit of stream value, from the ratio between short and long
/// prompts in the users' sheets.
const VALUE_TOKENS: f64 = 13_000.0;

crate::data_types! {
    /// Speed and size of a service's engines, from the service's configuration.
    #[derive(Copy)]
    pub struct EngineModel {
        /// Time of a step without load, in ms.
        pub step_ms: f64,
        /// Time that each decoding stream adds to a step, in ms.
        pub per_stream_ms: f64,
        /// Time that each 1,000 context tokens of the decoding streams add to a
        /// step, in ms.
        pub per_1k_context_ms: f64,
        /// Prefill throughput without attention, in prompt tokens per ms.
        pub prefill_tokens_per_ms: f64,
        /// Attention time per million pairs of a token and an earlier token, in ms.
        pub per_million_pairs_ms: f64,
        /// Steps of an iteration with decoding streams; at least 1.
        pub steps_per_iteration: u32,
        /// KV cache capacity.
        pub memory: Tokens,
        /// Requests that an engine runs concurrently.
        pub slots: u32,
    }
}

impl EngineModel {
    /// Time to prefill a prompt on one idle engine.
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
        clock::duration_from_secs(ms / 1e3)
    }

    /// Value of a stream served on time, in units of a stream with an empty prompt.
    /// Requests don't state a value, so it is derived from the prompt length.
    pub fn value(&self, prompt: Tokens) -> f64 {
        1.0 + prompt.0 as f64 / VALUE_TOKENS
    }

    /// Time of an iteration without prefill, for `streams` decoding streams with
    /// `context` tokens in total.
    pub fn iteration_time(&self, streams: u32, context: Tokens) -> Duration {
        let per_step_ms = self.step_ms
            + self.per_stream_ms * f64::from(streams)
            + self.per_1k_context_ms * context.0 as f64 / 1e3;
        let steps = if streams == 0 {
            1
        } else {
            self.steps_per_iteration
        };
        clock::duration_from_secs(per_step_ms * f64::from(steps) / 1e3)
    }
}
