/*!
Operators' intents: from a declaration to a fleet that follows it.

- [`check()`] finds all faults of a declaration;
- [`plan()`] says what a declaration would change, and in which order;
- [`Confirmation`] gets a plan accepted by one conditional write, and resolves
  a lost reply by reading back;
- [`Current`] is the newest configuration that an instance knows; it never goes
  back;
- [`Lease`] decides which instance gives orders to a share of the engines;
- [`orders`] compares the desired with the observed state and says which orders
  to give now.

The ways weighed are in `docs/design/intents.md`.
*/

mod check;
mod confirm;
mod current;
mod delta;
mod lease;
mod plan;
mod reconcile;

pub use check::{Fault, check};
pub use confirm::{Confirmation, Event, Step, Verdict};
pub use current::{Adopted, Current, Freshness};
pub use delta::{apply_delta, canonical, delta};
pub use lease::{LEASE_TTL, Lease, LeaseEvent, LeaseStep};
pub use plan::{Observed, ObservedEngine, fleet_digest, plan};
pub use reconcile::{Limits, orders};
