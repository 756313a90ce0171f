//! Readers of the platform: configuration service, live list, weight store.

pub mod wire;
