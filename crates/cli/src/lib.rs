/*!
Command-line tool for operators of cyclamengauge.

The tool submits declarations from a directory as a plan, confirms plans, and
shows the state of the fleet. The binary is `cyclamengauge`;
`cyclamengauge --help` lists its commands.
*/

pub mod client;
pub mod commands;
pub mod declaration;
pub mod render;
pub mod traces;
