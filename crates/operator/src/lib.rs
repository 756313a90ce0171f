//! Operator interface: configuration files and their checks, published documents, audit trail and
//! status.

#![warn(clippy::unwrap_used)]

pub mod audit;
pub mod check;
pub mod collect;
pub mod documents;
pub mod fields;
pub mod files;
pub mod finding;
pub mod port;
pub mod published;
pub mod rules;
pub mod status_text;
