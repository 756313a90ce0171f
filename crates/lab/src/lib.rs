//! Stand-ins, load, fault injection and experiments; never shipped.

pub mod experiments;
pub mod standins;
