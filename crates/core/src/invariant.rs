//! Invariants asserted in the running program.
//!
//! [`check_invariant!`](crate::check_invariant) panics in builds with debug assertions, which
//! are those of the tests. In a release build it counts and reports the
//! violation, and the program goes on.

use std::{
    fmt,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

/// Receives the name of a violated invariant and what was seen.
pub type Reporter = fn(&str, fmt::Arguments<'_>);

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);
static REPORTER: OnceLock<Reporter> = OnceLock::new();

/// Asserts an invariant by name.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::check_invariant;
///
/// let (held, reserved) = (4, 4);
/// check_invariant!(held == reserved, "memory-accounted", "held {held}, reserved {reserved}");
/// ```
#[macro_export]
macro_rules! check_invariant {
    ($holds:expr, $name:literal, $($seen:tt)+) => {
        let holds: bool = $holds;
        if !holds {
            $crate::invariant::report_violation($name, format_args!($($seen)+));
        }
    };
}

/// Number of violations since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Sets who is told of violations; only the first call has an effect.
pub fn set_reporter(reporter: Reporter) {
    let _ = REPORTER.set(reporter);
}

/// Counts and reports a violation. Called by [`check_invariant!`](crate::check_invariant).
///
/// # Panics
///
/// In builds with debug assertions.
pub fn report_violation(name: &str, seen: fmt::Arguments<'_>) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    if let Some(report) = REPORTER.get() {
        report(name, seen);
    }
    if cfg!(debug_assertions) {
        panic!("invariant {name}: {seen}");
    }
}
