//! Every decision of the balancer, pure and deterministic: no I/O, no clock reads, no global
//! randomness. Time, random numbers and observations are passed in.

#![warn(clippy::unwrap_used)]

pub mod addresses;
pub mod admission;
pub mod authority;
pub mod cache_log;
pub mod call_budget;
pub mod candidate;
pub mod catalog;
pub mod cold;
pub mod cold_rate;
pub mod config_order;
pub mod coverage;
pub mod demand;
pub mod expert_map;
pub mod expert_plan;
pub mod fairness;
pub mod group_leader;
pub mod group_rank;
pub mod group_switch;
pub mod hold;
pub mod keys;
pub mod limit;
pub mod load;
pub mod lost_calls;
pub mod map_switch;
pub mod membership;
pub mod once;
pub mod orphans;
pub mod outage;
pub mod pass_clock;
pub mod pass_model;
pub mod placement;
pub mod popularity;
pub mod prefix;
pub mod rank_load;
pub mod reader;
pub mod rebalance;
pub mod rebalance_replay;
pub mod rendezvous;
pub mod repeat_budget;
pub mod retry;
pub mod routing;
pub mod server_health;
pub mod server_list;
pub mod standstill;
pub mod subset;
pub mod switch_messages;
pub mod switch_run;
pub mod tokens;
pub mod verdict;
pub mod wait_queue;
pub mod witnesses;
