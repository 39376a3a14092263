/*!
Routing of requests by host and path to the targets of a service.

- [`routes`] holds the active configuration: routes, services, accounts, limits;
- [`connections`] chooses the client connection that gives way when there are too many;
- [`cost`] estimates the cost of a prompt to an engine and to the streams on it;
- [`targets`] tracks the targets, their health and their load;
- [`pace`] learns how fast each target is;
- [`handover`] takes requests of peers that reach no target;
- [`peers`] tracks the other instances;
- [`reachability`] tells an instance that is cut off from targets that are down;
- [`store_calls`] times the calls that watch the platform's tables;
- [`configuration_spread`] passes new configurations on from instance to instance;
- [`watchers`] picks the instances that watch the platform's tables;
- [`target_list`] keeps the target list for peers that fetch it;
- [`dissemination`] schedules the reports of loads to them;
- [`placement`] chooses the target of a request;
- [`queue`] orders long prompts across instances;
- [`rate`] measures event rates;
- [`shutdown`] times the end of a process;
- [`retry_budget`] limits the retries of all instances;
- [`memory`] limits the memory that is held for clients and targets;
- [`framing`] limits the bytes of a response that are not its payload;
- [`crashes`] counts the engine crashes per request content;
- [`prompt_parts`] finds the parts of prompts that crash engines.
*/

pub mod configuration_spread;
pub mod connections;
pub mod cost;
pub mod crashes;
pub mod dissemination;
pub mod framing;
pub mod handover;
pub mod memory;
pub mod pace;
pub mod peers;
pub mod placement;
pub mod prompt_parts;
pub mod queue;
pub mod rate;
pub mod reachability;
pub mod retry_budget;
pub mod routes;
pub mod shutdown;
pub mod store_calls;
pub mod target_list;
pub mod targets;
pub mod watchers;
