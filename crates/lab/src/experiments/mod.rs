//! Experiments that measure the system or make it fail.

pub mod agent_slopes;
pub mod capacity;
pub mod domain;
pub mod leader_bytes;
pub mod once;
pub mod once_world;
pub mod popularity_traces;
pub mod queueing;
pub mod rebalance;
pub mod routing;
