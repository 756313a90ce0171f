//! What operators see: files, checks, published documents, audit, status.

pub mod documents;
