//! Once-only requests under random schedules: schemes that hold, and the naive one that doubles.

use googletest::prelude::*;
use jujube_lab::experiments::{
    once::{self, explore, vanish},
    once_world::Scheme,
};

const SEED: u64 = 20_261_203;
const SCHEDULES: u64 = 2_000;

#[gtest]
fn issued_and_fenced_keys_never_double_and_entry_memory_does() {
    println!("{}", once::run(SEED));

    for scheme in [Scheme::Issued, Scheme::Unanimous, Scheme::Ranked] {
        let explored = explore(scheme, SEED, SCHEDULES);
        expect_that!(explored.doubled, eq(0), "{scheme:?}");
    }
    for naive in [Scheme::RankOnly, Scheme::EntryMemory] {
        let explored = explore(naive, SEED, SCHEDULES);
        expect_that!(explored.doubled, gt(0), "{naive:?}");
    }
}

#[gtest]
fn a_vanished_home_costs_no_fresh_request_once_entries_know() {
    let issued = vanish(Scheme::Issued, SEED);
    let unanimous = vanish(Scheme::Unanimous, SEED);

    expect_that!(issued.after_views, eq(0.0));
    expect_that!(unanimous.after_views, gt(0.0));
}
