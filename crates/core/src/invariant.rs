//! Invariants that are checked at run time.
//!
//! On a violation, [`check_invariant!`](crate::check_invariant) panics in builds
//! with debug assertions, such as test builds. A release build counts and reports
//! the violation and continues.

use std::{
    fmt,
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

/// Receives the name of a violated invariant and the observed values.
pub type Reporter = fn(&str, fmt::Arguments<'_>);

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);
static REPORTER: OnceLock<Reporter> = OnceLock::new();

/// Checks a named invariant and calls [`report_violation`] if it does not hold.
///
/// [`report_violation`]: crate::invariant::report_violation
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
    ($condition:expr, $name:literal, $($detail:tt)+) => {
        let condition: bool = $condition;
        if !condition {
            $crate::invariant::report_violation($name, format_args!($($detail)+));
        }
    };
}

/// Number of violations since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Sets the reporter that [`report_violation`] calls. Only the first call has an
/// effect.
pub fn set_reporter(reporter: Reporter) {
    let _ = REPORTER.set(reporter);
}

/// Counts and reports a violation. Called by
/// [`check_invariant!`](crate::check_invariant).
///
/// # Panics
///
/// In builds with debug assertions.
pub fn report_violation(name: &str, detail: fmt::Arguments<'_>) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    if let Some(report) = REPORTER.get() {
        report(name, detail);
    }
    if cfg!(debug_assertions) {
        panic!("invariant {name}: {detail}");
    }
}
