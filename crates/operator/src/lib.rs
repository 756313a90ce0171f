//! What operators see: files, checks, published documents, audit, status.

pub mod documents;
pub mod finding;
pub mod published;
pub mod rules;
