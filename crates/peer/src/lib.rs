//! Protocols between the system's own processes.
//!
//! Control messages use JSON-RPC ([`control`]). Requests and responses use HTTP with framed bodies
//! ([`attempt`], [`frames`]): each attempt has a connection of its own, so that a connection that
//! goes silent affects no other attempt.

#![warn(clippy::unwrap_used)]

pub mod attempt;
pub mod attempt_ref;
pub mod cache_events;
pub mod client;
pub mod control;
pub mod frames;
pub mod group;
