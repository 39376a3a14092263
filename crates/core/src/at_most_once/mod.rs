/*!
Runs non-idempotent calls at most once.

One conditional write to the store claims a call before the call is sent, and a
second write records its result. A claim is never transferred: if its owner
crashes, the outcome of the call stays unknown and no instance sends the call
again. So an owner that was paused for longer than its lease cannot send a call
that another instance has sent. `docs/design/at-most-once.md` compares the
alternatives, with their cost in store writes.

# Example

```
use cyclamengauge_core::{at_most_once, clock::Instant};

let owner = at_most_once::ClaimOwner::new("i1", 7, 1);
let (mut call, step) = at_most_once::Call::begin(owner, "digest".into(), false, 0, Instant::ZERO);
assert!(matches!(step, at_most_once::Step::WriteClaim { .. }));
let step = call.handle_event(at_most_once::Event::Written { version: 1 }, 0, Instant::from_millis(3));
assert_eq!(step, at_most_once::Step::SendCall);
```
*/

mod call;

pub use call::{Call, ClaimOwner, Event, Response, Step, TargetOutcome};
