//! Experiments that measure the system or make it fail.

pub mod domain;
pub mod queueing;
pub mod routing;
