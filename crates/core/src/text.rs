//! The string type of ids and short texts.

pub use smol_str::SmolStr;
