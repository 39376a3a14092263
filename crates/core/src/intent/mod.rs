/*!
Operators' intents: from a declaration to a fleet that follows it.

- [`check()`] finds all faults of a declaration;
- [`plan()`] says what a declaration would change, and in which order;
- [`Confirmation`] gets a plan accepted by one conditional write, and resolves
  a lost reply by reading back;
- [`CurrentConfiguration`] is the newest configuration that an instance knows; it never goes
  back;
- [`Lease`] decides which instance gives orders to a share of the engines;
- [`next_orders`] compares the desired with the observed state and says which orders
  to give now.

The ways weighed are in `docs/design/intents.md`.
*/

mod check;
mod configuration;
mod confirm;
mod delta;
mod lease;
mod plan;
mod reconcile;

pub use check::{Fault, check};
pub use configuration::{CurrentConfiguration, Freshness, OfferOutcome};
pub use confirm::{Confirmation, ConfirmationEvent, ConfirmationOutcome, ConfirmationStep};
pub use delta::{apply_delta, canonicalize, compute_delta};
pub use lease::{LEASE_TTL, Lease, LeaseEvent, LeaseStep};
pub use plan::{ObservedEngine, ObservedFleet, fleet_digest, plan};
pub use reconcile::{OrderLimits, next_orders};
