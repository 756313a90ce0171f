//! Stand-ins, load, fault injection and experiments; never shipped.

#![warn(clippy::unwrap_used)]

pub mod caller;
pub mod crowd;
pub mod datagram_relay;
pub mod demo;
pub mod events;
pub mod experiments;
pub mod fleet;
pub mod fleet_config;
pub mod http;
pub mod in_force;
pub mod load;
pub mod network;
pub mod path_bench;
pub mod process;
pub mod publication;
pub mod publish;
pub mod relay;
pub mod standins;
pub mod tokens;
