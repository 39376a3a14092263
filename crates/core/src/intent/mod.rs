/*!
Operators' intents: declarations, plans and the orders that carry them out.

- [`check()`] finds all faults of a declaration;
- [`plan()`] lists the changes that a declaration makes and the orders for them;
- [`Confirmation`] gets a plan accepted by one conditional write and, after a
  lost reply, reads the row back to find the outcome;
- [`CurrentConfiguration`] is the newest configuration that an instance has
  received; its version never decreases;
- [`Lease`] allows one instance at a time to send orders to engines;
- [`next_orders`] compares the declared with the observed state and returns the
  orders to send now.

The alternatives considered are in `docs/design/intents.md`.
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
