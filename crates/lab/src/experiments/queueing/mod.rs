//! A queue model of a deployment: entries route, agents admit, backend servers take time.
//!
//! Entries and agents make their decisions with the `policy` package itself; only the servers'
//! times, the delays between processes and the callers are modelled. Everything is seeded.

pub mod engine;
pub mod fleet;
pub mod outcome;
pub mod router;
pub mod traffic;
