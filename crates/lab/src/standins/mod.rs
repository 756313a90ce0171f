//! Stand-ins for the external systems: model engines, plain services and the platform.

pub mod cold_start;
pub mod engine;
pub mod engine_api;
pub mod engine_control;
pub mod faults;
pub mod group;
pub mod kv_memory;
pub mod ledger;
pub mod orders;
pub mod platform;
pub mod platform_state;
pub mod prefix_cache;
pub mod service;
pub mod slots;
