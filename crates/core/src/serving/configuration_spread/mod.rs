/*!
How a new configuration version spreads from the instances that have it to the others.

- [`delta`] expresses a version as a change of an earlier one, compressed;
- [`versions`] keeps the versions that changes can apply to;
- [`sources`] chooses the peer to fetch from;
- [`transfer`] collects the parts of a transfer, also from several peers;
- [`offers`] answers the requests of peers, within a share of the own link;
- [`pacing`] spreads bytes over time.

Whoever has a version passes it on. A source that has no room says so, and the peer asks
another one, so the work of an instance does not grow with the fleet.
*/

pub mod delta;
pub mod offers;
pub mod pacing;
pub mod sources;
pub mod transfer;
pub mod versions;

/// Largest configuration, encoded as in the store.
pub const MAX_CONFIGURATION_BYTES: usize = 16 * 1024 * 1024;
