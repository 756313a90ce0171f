//! HTTP plumbing of the direct way: a server for callers, connections to backend servers, event
//! streams, and the headers that a deployment's dialect gives names to.

#![warn(clippy::unwrap_used)]

pub mod body;
pub mod call;
pub mod caller_io;
pub mod dialect;
pub mod events;
pub mod fetch;
pub mod instance;
pub mod metrics_port;
pub mod pool;
pub mod reload;
pub mod server;
pub mod socket;
pub mod supervise;
