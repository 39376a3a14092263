/*!
The test side of cyclamengauge: models and stand-ins of the systems that it
serves, a load tool, and experiments.

Nothing of this is part of the product. `cyclamengauge-load demo` starts the
stand-ins and several daemons as processes of their own on loopback and sends
them a mixed load; `cyclamengauge-load compare` runs routing policies side by
side in virtual time.
*/

pub mod capacity;
pub mod demo;
pub mod experiment;
pub mod harness;
pub mod hostile;
pub mod latency;
pub mod model;
pub mod slopes;
pub mod standins;
