//! What callers see: HTTP routes, problem documents, streams.

#![warn(clippy::unwrap_used)]

pub mod answer;
pub mod problem;
pub mod request;
pub mod server;
