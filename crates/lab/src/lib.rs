//! Stand-ins, load, fault injection and experiments; never shipped.

pub mod experiments;
pub mod http;
pub mod relay;
pub mod standins;
pub mod tokens;
