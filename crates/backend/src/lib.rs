//! Clients for backend servers: model engines and plain services.

#![warn(clippy::unwrap_used)]

pub mod cache;
pub mod call;
pub mod call_error;
pub mod guard;
pub mod health;
pub mod orders;
pub mod stream;
