//! The agent on the direct way: it runs beside a model engine, where reports, counts and orders
//! cost nothing, and keeps the expert map of the engine's group balanced together with the other
//! agents of the group. No request passes it.

#![warn(clippy::unwrap_used)]

pub mod datagrams;
pub mod deputy;
pub mod driver;
pub mod leader;
pub mod map_transfer;
pub mod orders;
pub mod run;
pub mod state;
pub mod switch;
pub mod takeover;
