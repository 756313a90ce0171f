//! The HTTP interface for callers: server, requests, answers and problem documents.

#![warn(clippy::unwrap_used)]

pub mod answer;
pub mod problem;
pub mod request;
pub mod server;
