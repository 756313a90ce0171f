//! The entry that receives callers' requests and forwards them to backend servers directly, without
//! agents in between.
//!
//! The process is single-threaded: it gets a fraction of one core, and placement decisions need a
//! consistent view of all load data.

#![warn(clippy::unwrap_used)]

pub mod attempt;
pub mod attempt_failure;
pub mod auxiliary_ports;
pub mod crash_detector;
pub mod dispatch;
mod entry_shutdown;
pub mod error_response;
pub mod forward;
pub mod load_tracker;
pub mod long_body;
pub mod peer_datagrams;
pub mod peers;
pub mod prompt_guard;
pub mod rate_limits;
pub mod request;
pub mod request_handler;
pub mod request_log;
pub mod request_queues;
pub mod run;
pub mod server_stream;
pub mod server_wait;
pub mod shared_state;
pub mod store_replica;
pub mod store_sync;
pub mod stream_relay;
