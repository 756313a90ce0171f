//! Clients for backend servers: model engines and plain services.

pub mod call;
pub mod health;
pub mod stream;
