//! HTTP layer of the load balancer: a server for callers, pooled connections to backend servers,
//! event streams, and headers, whose names the deployment's codec defines.

#![warn(clippy::unwrap_used)]

pub mod body;
pub mod body_budget;
pub mod call;
pub mod caller_body;
pub mod caller_io;
pub mod connection_table;
pub mod event_sequence;
pub mod event_stream;
pub mod fetch;
pub mod header_codec;
pub mod instance_settings;
pub mod limited_listener;
mod locks;
pub mod metrics_port;
pub mod pool;
pub mod response_budget;
pub mod server;
pub mod settings_reload;
pub mod socket;
pub mod supervise;
