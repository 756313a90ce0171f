//! The entry on the direct way: takes callers' requests and sends them to backend servers itself.
//!
//! One thread does everything: a process has a fraction of one core, and decisions on load need all
//! of what is known at one moment.

#![warn(clippy::unwrap_used)]

pub mod attempt_failure;
pub mod auxiliary_ports;
pub mod dispatch;
pub mod error_response;
pub mod forward;
pub mod load_tracker;
pub mod long_body;
pub mod peer_datagrams;
pub mod peers;
pub mod request;
pub mod request_handler;
pub mod request_log;
pub mod request_queues;
pub mod run;
pub mod server_stream;
pub mod shared_state;
pub mod store_replica;
pub mod store_sync;
pub mod stream_relay;
