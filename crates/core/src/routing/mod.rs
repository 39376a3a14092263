/*!
Decides which engine serves a request.

[`Fleet`] holds the state of the engines on this instance: their properties, their
load reports, corrected by the requests of this instance, and the prefixes in their
caches. [`Fleet::plan`] estimates the time to first token on each candidate and
selects the candidate with the lowest cost. The design and its alternatives are in
`docs/design/routing.md`.
*/

mod arrival_rates;
mod fleet;
mod groups;
pub(crate) mod hash;
mod load;
mod plan;
mod prefix_index;
mod subset;

pub use arrival_rates::ArrivalRates;
pub use fleet::{
    CacheEvent, Engine, EngineFacts, Fleet, FleetSettings, PREFIX_INDEX_CAPACITY, Policy,
};
pub use load::{Backlog, Load, LoadReport, PRIORITY_LEVELS, Priority};
pub use plan::{ChoiceReason, Plan, PlanError, Segment};
pub use prefix_index::{EngineIndex, PrefixIndex};
pub use subset::{MAX_SUBSET_ENGINES, SubsetCandidate, choose_subset};
