//! Identifiers of accounts, models, engines, instances, requests and attempts.

use std::fmt;

crate::text_id! {
    /// Name of a client account.
    pub struct AccountId;

    /// Name of a model.
    pub struct ModelId;

    /// Name of an engine.
    pub struct EngineId;

    /// Name of a service: a group of targets that answer the same requests.
    pub struct ServiceId;

    /// Name of an instance.
    pub struct InstanceId;

    /// Name of a data centre.
    pub struct DataCentreId;

    /// Id of a part of a prompt, the same in all prompts that share the part.
    pub struct PromptPartId;

    /// Id of a plan: a digest of all inputs of the plan.
    pub struct PlanId;
}

/// Number of a request, unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Number of one attempt, that is, one sending of a request to an engine; unique
/// within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a{}", self.0)
    }
}

impl std::str::FromStr for RequestId {
    type Err = crate::error::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_prefixed_number(text, 'r').map(Self)
    }
}

impl std::str::FromStr for AttemptId {
    type Err = crate::error::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_prefixed_number(text, 'a').map(Self)
    }
}

/// Parses the display form of an id; `prefix` may be missing.
fn parse_prefixed_number(text: &str, prefix: char) -> Result<u64, crate::error::Error> {
    let digits = text.strip_prefix(prefix).unwrap_or(text);
    digits.parse().map_err(|_| {
        crate::error::Error::new(
            "parse id",
            format!("expected a number, optionally after `{prefix}`, got `{text}`"),
        )
    })
}
