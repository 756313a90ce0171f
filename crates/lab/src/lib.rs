//! Stand-ins, load, fault injection and experiments; never shipped.

#![warn(clippy::unwrap_used)]

pub mod caller;
pub mod demo;
pub mod events;
pub mod experiments;
pub mod fleet;
pub mod http;
pub mod load;
pub mod path_bench;
pub mod process;
pub mod publication;
pub mod publish;
pub mod relay;
pub mod standins;
pub mod tokens;
