//! What callers see: HTTP routes, problem documents, streams.

pub mod answer;
pub mod problem;
pub mod request;
pub mod server;
