//! What operators see: files, checks, published documents, audit, status.

pub mod check;
pub mod collect;
pub mod documents;
pub mod fields;
pub mod files;
pub mod finding;
pub mod published;
pub mod rules;
