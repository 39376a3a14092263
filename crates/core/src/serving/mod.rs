/*!
Requests that are routed by host and path to the targets of a service.

- [`routes`] is the configuration in force: routes, services, accounts, limits;
- [`cost`] estimates what a prompt costs an engine and the streams beside it;
- [`targets`] knows the targets, their standing and their load;
- [`peers`] knows the other instances;
- [`placement`] chooses where a request runs;
- [`queue`] gives long prompts their turn;
- [`rate`] measures how often something happens;
- [`retry_budget`] bounds the retries of all instances together;
- [`crashes`] counts the engines that a content took down.
*/

pub mod cost;
pub mod crashes;
pub mod peers;
pub mod placement;
pub mod queue;
pub mod rate;
pub mod retry_budget;
pub mod routes;
pub mod targets;
