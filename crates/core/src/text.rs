//! The string type of ids and other short texts; cheap to clone.

pub use smol_str::SmolStr;
