//! Protocols between the system's own processes.
//!
//! Control goes over JSON-RPC ([`control`]). Requests and answers go over HTTP with framed bodies
//! ([`attempt`], [`frames`]): each attempt has a connection of its own, so that one connection
//! going silent takes no other attempt with it.

#![warn(clippy::unwrap_used)]

pub mod attempt;
pub mod attempt_ref;
pub mod cache_events;
pub mod client;
pub mod control;
pub mod frames;
pub mod group;
