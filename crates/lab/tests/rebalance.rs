//! Rebalancing on seeded traces: the target of skew and bytes, and the recorded traces.

use googletest::prelude::*;
use jujube_lab::experiments::rebalance;

#[gtest]
fn table() {
    println!("{}", rebalance::run(1));
}
