/*!
The decision logic of cyclamengauge, without I/O, clocks or async runtimes.

The modules are state machines: their inputs are events and the current time,
their outputs are actions. The daemon connects them to sockets; tests and
experiments run them in virtual time. The main modules:

- [`dispatch`] runs each completion request from admission to its end;
- [`routing`] chooses the engine, or the group of engines, for a request;
- [`admission`] enforces the limits and shares of client accounts;
- [`membership`] tracks which targets may receive new requests;
- [`recovery`] holds the retry budget, the quarantine and the reservations;
- [`at_most_once`] runs non-idempotent calls at most once;
- [`serving`] routes requests by host and path to the targets of a service;
- [`intent`] turns operators' declarations into plans and orders;
- [`events`] is the catalogue of log events.

# Example

One engine, one account, one request:

```
use std::time::Duration;
use cyclamengauge_core::{
    admission, clock::Instant, dispatch, ids, request, routing,
    units::{Tokens, TokensPerSecond},
};

let now = Instant::ZERO;
let mut dispatcher = dispatch::Dispatcher::new(dispatch::Settings::default());
dispatcher.configure(
    dispatch::Settings::default(),
    vec![admission::AccountLimits {
        account: ids::AccountId::new("dispatch-desk"),
        weight: 1.0,
        requests_per_s: 100.0,
        prompt_tokens_per_s: 1e6,
        max_concurrent: 10,
    }],
);
let engine = ids::EngineId::new("e1");
let facts = routing::EngineFacts {
    id: engine.clone(),
    model: ids::ModelId::new("meadow"),
    memory: Tokens(450_000),
    slots: 32,
    prefill_rate: TokensPerSecond(50_000.0),
    network_delay: Duration::from_micros(500),
};
dispatcher.declare_engine(facts, false, now);
dispatcher.handle_report(&engine, 1, false, &routing::LoadReport::default(), now);

let actions = dispatcher.submit_request(
    request::Request {
        id: ids::RequestId(1),
        account: ids::AccountId::new("dispatch-desk"),
        model: ids::ModelId::new("meadow"),
        prompt: Tokens(2_000),
        max_output: Tokens(100),
        prefixes: Vec::new(),
        fingerprint: request::Fingerprint::default(),
        deadline: now + Duration::from_secs(30),
    },
    now,
);
assert!(matches!(&actions[..], [dispatch::Action::Send(_)]));
```
*/

#[macro_use]
mod macros;

pub mod admission;
pub mod at_most_once;
pub mod clock;
pub mod dispatch;
pub mod error;
pub mod events;
pub mod ids;
pub mod intent;
pub mod invariant;
pub mod membership;
pub mod recovery;
pub mod request;
pub mod routing;
pub mod serving;
pub mod text;
pub mod timer;
pub mod units;
