//! The agent that keeps the expert map of a group of model engines balanced, together with the
//! other agents of the group. It runs on the engine's instance, where reading reports and counts and
//! sending orders is cheap. Client requests do not pass through it.
//!
//! In a switch to a new map all ranks load the map first. Then the leader's deputy has one rank, the
//! gate, hold a forward pass and activates the map at the leader's engine; the leader activates it at
//! all other engines and releases the pass.

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
