//! Stand-ins, load, fault injection and experiments; never shipped.

pub mod experiments;
pub mod http;
pub mod publish;
pub mod relay;
pub mod standins;
pub mod tokens;
