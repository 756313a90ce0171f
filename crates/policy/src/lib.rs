//! Every decision of the balancer, pure and deterministic: no I/O, no clock reads, no global
//! randomness. Time, random numbers and observations are passed in.

pub mod admission;
pub mod cold;
pub mod fairness;
pub mod keys;
pub mod limit;
pub mod once;
pub mod orphans;
pub mod verdict;
