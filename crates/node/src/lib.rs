//! What entry and agent have in common: following the platform, control calls, shutdown.

pub mod control_client;
pub mod control_port;
pub mod fleet;
pub mod follower;
pub mod heartbeats;
pub mod operator_port;
pub mod shutdown;
