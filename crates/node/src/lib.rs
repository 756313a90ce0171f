//! Code shared by entry and agent: following the platform, heartbeats, control calls, shutdown.

#![warn(clippy::unwrap_used)]

pub mod control_client;
pub mod control_port;
pub mod datagram;
pub mod fleet;
pub mod fleet_audit;
pub mod fleet_config;
pub mod follower;
pub mod group_link;
pub mod heartbeats;
pub mod operator_port;
pub mod peers;
pub mod process;
pub mod settings;
pub mod shutdown;
