//! The entry on the direct way: takes callers' requests and sends them to backend servers itself.
//!
//! One thread does everything: a process has a fraction of one core, and decisions on load need all
//! of what is known at one moment.

#![warn(clippy::unwrap_used)]

pub mod answers;
pub mod dispatch;
pub mod failure;
pub mod fleet;
pub mod follower;
pub mod forward;
pub mod long_body;
pub mod mesh;
pub mod open_stream;
pub mod peers;
pub mod ports;
pub mod record;
pub mod replica;
pub mod request;
pub mod run;
pub mod shared;
pub mod stream;
pub mod traffic;
pub mod waiting;
