//! Clients of the platform's services: configuration service, live list, weight store.

#![warn(clippy::unwrap_used)]

pub mod blocking_query;
pub mod budget;
pub mod config_reader;
pub mod config_view;
pub mod live_list;
pub mod weight_store;
pub mod wire;
