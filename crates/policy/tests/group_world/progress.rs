//! Liveness of the expert map switch: from every state reachable with faults, the group runs
//! further steps with one map once the faults have ended, whether messages in transit arrive or are
//! lost.

use std::collections::HashSet;

use googletest::prelude::*;
use pathfinding::directed::bfs::bfs_reach;

use super::{Budget, Mutation, Setup, World, fault_free::Driver};

/// Driver that follows all rules.
const FULL_DRIVER: Driver = Driver {
    retries: true,
    rereads: true,
};

/// Explores all states reachable with the faults of `budget`. Returns the number of distinct states
/// at the end of the faults, and the number of those from which the group makes no progress.
fn explore(name: &str, fencing: bool, budget: Budget, driver: Driver) -> (usize, usize) {
    let setup = Setup {
        fencing,
        mutation: Mutation::None,
    };
    let start = World::formed(setup, budget);
    let next = |world: &World| {
        let next = world.successors().into_iter();
        next.map(|(_, world)| world).collect::<Vec<_>>()
    };
    let mut ends = HashSet::new();
    for world in bfs_reach(start, next) {
        let end = world.without_faults();
        ends.insert(end.without_messages());
        ends.insert(end);
    }
    let stuck = ends.iter().filter(|end| !end.makes_progress(driver));
    let stuck: Vec<&World> = stuck.collect();
    let (ended, count) = (ends.len(), stuck.len());
    println!(
        "{name}, fencing {fencing}: {ended} states after the last fault, {count} without progress"
    );
    if let Some(first) = stuck.first() {
        println!(
            "  first of them: engines {:?}, leaders {:?}",
            first.engines, first.leaders
        );
    }
    (ended, count)
}

/// Returns a budget of one switch without faults.
fn budget() -> Budget {
    Budget {
        proposals: 1,
        leader_replacements: 0,
        agent_restarts: 0,
        engine_restarts: 0,
        lost_orders: 0,
        duplicated_requests: 0,
        delayed_replies: 0,
        prepare_timeouts: 0,
        last_step: 2,
    }
}

/// Defines one test for each mix of faults, with engines that check terms and engines that do not.
macro_rules! progress_tests {
    ($($test:ident: $($field:ident = $value:literal),+;)*) => {$(
        #[gtest]
        fn $test() {
            for fencing in [false, true] {
                let budget = Budget { $($field: $value,)+ ..budget() };
                let (ends, stuck) = explore(stringify!($test), fencing, budget, FULL_DRIVER);
                expect_that!(ends, gt(1));
                expect_that!(stuck, eq(0));
            }
        }
    )*};
}

progress_tests! {
    continues_after_prepare_timeout: prepare_timeouts = 1, lost_orders = 1;
    continues_after_two_switches: proposals = 2;
    continues_after_leader_replaced: leader_replacements = 1;
    continues_after_agent_restart: agent_restarts = 1;
    continues_after_lost_order: lost_orders = 1;
    continues_after_engine_restart: engine_restarts = 1;
    continues_after_late_messages: duplicated_requests = 1, delayed_replies = 1;
    continues_after_leader_replaced_and_engine_restart:
        leader_replacements = 1, engine_restarts = 1, last_step = 1;
    continues_after_all_engines_restart: engine_restarts = 3, last_step = 1;
}

/// Checks that the exploration finds a state without progress when the driver lacks a rule.
fn expect_stuck(name: &str, budget: Budget, driver: Driver) {
    let (_, stuck) = explore(name, false, budget, driver);

    expect_that!(stuck, gt(0));
}

#[gtest]
fn without_retries_the_group_gets_stuck() {
    let driver = Driver {
        retries: false,
        ..FULL_DRIVER
    };
    let budget = Budget {
        lost_orders: 1,
        ..budget()
    };
    expect_stuck("no retries", budget, driver);
}

#[gtest]
fn without_rereading_ranks_a_stalled_group_stays_stuck() {
    let driver = Driver {
        rereads: false,
        ..FULL_DRIVER
    };
    let budget = Budget {
        engine_restarts: 1,
        ..budget()
    };
    expect_stuck("no rereads", budget, driver);
}
