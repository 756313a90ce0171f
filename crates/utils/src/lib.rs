//! Utilities shared by all packages: clock, collections, ids, settings, logging.

#![warn(clippy::unwrap_used)]

pub mod clock;
pub mod collections;
pub mod derives;
pub mod events;
pub mod ids;
pub mod limited_body;
pub mod log_output;
pub mod logging;
pub mod settings;
pub mod wire;
