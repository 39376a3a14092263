/*!
The operators' tool of cyclamengauge.

It turns a directory of declarations into a plan, has it confirmed, and shows
the state of the fleet. The program is `cyclamengauge`; its commands are listed
by `cyclamengauge --help`.
*/

pub mod client;
pub mod commands;
pub mod declaration;
pub mod render;
pub mod traces;
