//! Tests of routing by host and path to targets, in virtual time and without a
//! network. Each load pattern that the users describe is a test.

mod cold;
mod configuration_fleet;
mod configuration_spread;
mod connections;
mod crashes;
mod dissemination;
mod evacuation;
mod fleet;
mod framing;
mod leaving;
mod loads;
mod memory;
mod pace;
mod peers;
mod placement;
mod prompt_parts;
mod queue;
mod reachability;
mod retry_budget;
mod routes;
mod shutdown;
mod simulation;
mod store_calls;
mod target_limits;
mod target_list;
mod targets;
mod watchers;
