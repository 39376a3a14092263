/*!
Small stand-ins of the systems around cyclamengauge, each a process of its own:
an engine, a plain service, and the platform's table service, object store and
list of instances.

They follow the protocols in `docs/design/engine-protocol.md` and
`docs/design/platform-protocol.md`, and can be told to fail.
*/

mod chunks;
mod engine;
mod plain;
mod platform;
mod report;
mod server;

pub use engine::{EngineOptions, engine_options, run as run_engine};
pub(crate) use engine::{prompt_seed, token_text, unix_us};
pub use plain::{PlainOptions, plain_options, run as run_plain};
pub use platform::{PlatformOptions, platform_options, run as run_platform};

/// A prompt with this text crashes the engine that reads it.
pub const POISON: &str = "CRASH-THE-ENGINE";

/// Tokens of an answer to a prompt with this text are the times, in microseconds
/// since the Unix epoch, at which they were made.
pub const TIMED: &str = "TELL-THE-TIME";
