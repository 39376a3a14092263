/*!
Runs routing policies side by side on the same arrivals, in virtual time.

Four instances share the traffic. Each has its own dispatcher, the very one of
the daemon, and sees the engines through messages that take time and reports
that lag. The same seed gives the same figures on any machine.
*/

mod compare;
mod figures;
mod parts;
mod world;

pub use compare::{CompareOptions, compare, compare_options};
pub use figures::{Figures, Quantiles};
pub use world::{Conditions, run};
