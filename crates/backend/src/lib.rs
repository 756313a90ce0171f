//! Clients for backend servers: model engines and plain services.

#![warn(clippy::unwrap_used)]

pub mod cache_events;
pub mod call;
pub mod call_error;
pub mod health;
pub mod orders;
pub mod start_check;
pub mod stream;
