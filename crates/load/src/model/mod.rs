/*!
Models of the systems that cyclamengauge serves: engines and their load.

The same model runs in virtual time in the experiments and in real time in the
engine stand-in.
*/

mod cache;
mod engine;
mod mix;

pub use cache::PrefixCache;
pub use engine::{Engine, Job, JobId, Output, Spec, Step};
pub use mix::{Arrival, CLASSES, Deployment, Mix, class_of, is_long, is_short};
