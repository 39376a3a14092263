/*!
Runs non-idempotent calls at most once.

A call is claimed by one conditional write to the table service before it is
sent, and its end is recorded by a second. A claim never changes hands: if its
owner dies, the call's outcome stays unknown and nobody runs it again. So a
holder that was paused past its lease cannot run a call that another has run.
The ways weighed, with their cost in store writes, are in
`docs/design/at-most-once.md`.

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
