//! Exhaustive breadth-first search over the states of the expert map switch: all ranks that run a
//! step run it with the same map.

mod group_world;

use std::cell::Cell;

use googletest::prelude::*;
use group_world::{Budget, Event, Mutation, RANKS, Setup, World};
use pathfinding::directed::bfs::bfs;

/// Result of a search.
struct SearchResult {
    states: usize,
    /// Number of states in which all ranks have the same proposed map in force, after the first and
    /// after the second proposal.
    switched: [usize; 2],
    /// Shortest sequence of events that leads to a step run with two maps.
    violation: Option<Vec<Event>>,
}

fn search(name: &str, fencing: bool, mutation: Mutation, budget: Budget) -> SearchResult {
    let start = World::formed(Setup { fencing, mutation }, budget);
    let states = Cell::new(0);
    let switched = [Cell::new(0), Cell::new(0)];
    let path = bfs(
        &start,
        |world| {
            states.set(states.get() + 1);
            if let Some(index) = agreed_proposal(world, &budget) {
                switched[index].set(switched[index].get() + 1);
            }
            let next = world.successors();
            next.into_iter().map(|(_, world)| world).collect::<Vec<_>>()
        },
        |world| world.violated,
    );
    let result = SearchResult {
        states: states.get(),
        switched: switched.map(|count| count.get()),
        violation: path.map(|path| events_of(&path)),
    };
    println!(
        "{name}: {} states, switched {:?}",
        result.states, result.switched
    );
    for (number, event) in result.violation.iter().flatten().enumerate() {
        println!("  {number}: {event:?}");
    }
    result
}

/// Returns the index (0 or 1) of the latest proposal if all ranks have the same proposed map in
/// force.
fn agreed_proposal(world: &World, budget: &Budget) -> Option<usize> {
    let maps = world.engines.iter().map(|engine| engine.map);
    let maps: Vec<_> = maps.collect::<Option<_>>()?;
    let agreed = maps[0].term > 0 && maps.iter().all(|map| *map == maps[0]);
    let used = (budget.proposals - world.budget.proposals) as usize;
    (agreed && used > 0).then(|| used.min(2) - 1)
}

/// Returns the events along a path of states.
fn events_of(path: &[World]) -> Vec<Event> {
    path.windows(2)
        .filter_map(|pair| {
            let next = pair[0].successors();
            next.into_iter().find(|(_, world)| *world == pair[1])
        })
        .map(|(event, _)| event)
        .collect()
}

/// Returns a budget of two switches without faults.
fn budget() -> Budget {
    Budget {
        proposals: 2,
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

#[gtest]
fn one_map_per_step_over_two_switches_without_faults() {
    let found = search("no faults", false, Mutation::None, budget());

    expect_that!(found.violation, none());
    expect_that!(found.switched, each(gt(0)));
    expect_that!(RANKS, ge(3));
}

/// Checks that no step is run with two maps, and that every proposal can come into force.
fn expect_one_map(name: &str, fencing: bool, budget: Budget) {
    let found = search(
        &format!("{name}, fencing {fencing}"),
        fencing,
        Mutation::None,
        budget,
    );

    expect_that!(found.violation, none());
    expect_that!(found.switched[0], gt(0));
    expect_that!(found.switched[1] > 0, eq(budget.proposals == 2));
}

/// Defines one test for each mix of faults and kind of engine.
macro_rules! one_map_tests {
    ($($test:ident: $fencing:literal, $($field:ident = $value:literal),+;)*) => {$(
        #[gtest]
        fn $test() {
            let budget = Budget { $($field: $value,)+ ..budget() };
            expect_one_map(stringify!($test), $fencing, budget);
        }
    )*};
}

one_map_tests! {
    one_map_per_step_with_leader_replaced: false, leader_replacements = 1;
    one_map_per_step_with_leader_replaced_fencing: true, leader_replacements = 1;
    one_map_per_step_with_agent_restarts: false, agent_restarts = 1;
    one_map_per_step_with_agent_restarts_fencing: true, agent_restarts = 1;
    one_map_per_step_with_order_lost: false, lost_orders = 1;
    one_map_per_step_with_order_lost_fencing: true, lost_orders = 1;
    one_map_per_step_with_engine_restarts: false, engine_restarts = 1;
    one_map_per_step_with_engine_restarts_fencing: true, engine_restarts = 1;
    one_map_per_step_with_messages_duplicated_and_late:
        false, duplicated_requests = 1, delayed_replies = 1;
    one_map_per_step_with_messages_duplicated_and_late_fencing:
        true, duplicated_requests = 1, delayed_replies = 1;
    one_map_per_step_with_prepare_timeout: false, prepare_timeouts = 1;
    one_map_per_step_with_prepare_timeout_fencing: true, prepare_timeouts = 1;
    one_map_per_step_with_prepare_timeout_and_late_messages:
        false, prepare_timeouts = 1, duplicated_requests = 1, delayed_replies = 1, proposals = 1;
    one_map_per_step_with_prepare_timeout_and_lost_order:
        false, prepare_timeouts = 1, lost_orders = 1, proposals = 1;
    one_map_per_step_with_prepare_timeout_and_leader_replaced:
        false, prepare_timeouts = 1, leader_replacements = 1, proposals = 1, last_step = 1;
    one_map_per_step_with_leader_replaced_twice:
        false, leader_replacements = 2, proposals = 1, last_step = 1;
    one_map_per_step_with_leader_replaced_and_agent_restart:
        false, leader_replacements = 1, agent_restarts = 1, proposals = 1, last_step = 1;
    one_map_per_step_with_leader_replaced_and_agent_restart_fencing:
        true, leader_replacements = 1, agent_restarts = 1, proposals = 1, last_step = 1;
    one_map_per_step_with_leader_replaced_and_engine_restart:
        false, leader_replacements = 1, engine_restarts = 1, proposals = 1, last_step = 1;
    one_map_per_step_with_leader_replaced_and_messages_duplicated:
        false, leader_replacements = 1, duplicated_requests = 1, delayed_replies = 1, proposals = 1,
        last_step = 1;
    one_map_per_step_with_agent_restarted_twice:
        false, agent_restarts = 2, proposals = 1, last_step = 1;
    one_map_per_step_with_agent_and_engine_restarts:
        false, agent_restarts = 1, engine_restarts = 1, proposals = 1, last_step = 1;
    one_map_per_step_with_agent_restart_and_lost_order:
        true, agent_restarts = 1, lost_orders = 1, proposals = 1, last_step = 1;
}

/// Checks that the search finds a step run with two maps when a rule of the protocol is broken.
fn expect_violation(name: &str, fencing: bool, mutation: Mutation, budget: Budget) {
    let found = search(name, fencing, mutation, budget);

    expect_that!(found.violation, some(not(is_empty())));
}

#[gtest]
fn without_the_hold_a_step_runs_with_two_maps() {
    expect_violation("no hold", false, Mutation::DropHold, budget());
}

#[gtest]
fn without_the_term_check_a_step_runs_with_two_maps() {
    let budget = Budget {
        leader_replacements: 1,
        ..budget()
    };
    expect_violation("no term check", false, Mutation::DropTermCheck, budget);
}

#[gtest]
fn when_only_one_rank_is_read_a_step_runs_with_two_maps() {
    let budget = Budget {
        leader_replacements: 1,
        ..budget()
    };
    expect_violation("one rank read", false, Mutation::ReadOneRank, budget);
}

#[gtest]
fn without_the_startup_wait_a_step_runs_with_two_maps() {
    let budget = Budget {
        leader_replacements: 1,
        agent_restarts: 1,
        proposals: 1,
        last_step: 1,
        ..budget()
    };
    expect_violation("no startup wait", false, Mutation::SkipStartupWait, budget);
}

/// State of a group without the protocol: ranks apply a broadcast map as soon as it arrives.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct NaiveGroup {
    maps: [u32; RANKS],
    next_steps: [u64; RANKS],
    /// Map that was broadcast last; each rank applies it at any later time, or never.
    latest: u32,
    /// Map with which each rank ran its last step.
    last_maps: [u32; RANKS],
    /// Whether a step has been run with two maps.
    mixed: bool,
}

impl NaiveGroup {
    fn successors(&self) -> Vec<NaiveGroup> {
        let mut next = Vec::new();
        if self.latest < 2 {
            next.push(NaiveGroup {
                latest: self.latest + 1,
                ..self.clone()
            });
        }
        for rank in 0..RANKS {
            for map in self.maps[rank] + 1..=self.latest {
                let mut world = self.clone();
                world.maps[rank] = map;
                next.push(world);
            }
            let step = self.next_steps[rank];
            if step <= 2 && self.next_steps.iter().all(|other| *other >= step) {
                let mut world = self.clone();
                world.next_steps[rank] += 1;
                world.last_maps[rank] = self.maps[rank];
                world.mixed |= (0..RANKS).any(|other| {
                    self.next_steps[other] > step && self.last_maps[other] != self.maps[rank]
                });
                next.push(world);
            }
        }
        next
    }
}

/// Without faults, over two maps and the same steps: the naive group runs some step with two maps,
/// the protocol never does.
#[gtest]
fn broadcast_without_hold_runs_steps_with_two_maps() {
    let start = NaiveGroup {
        maps: [0; RANKS],
        next_steps: [1; RANKS],
        latest: 0,
        last_maps: [0; RANKS],
        mixed: false,
    };
    let naive = pathfinding::directed::bfs::bfs_reach(start, NaiveGroup::successors);
    let naive: Vec<NaiveGroup> = naive.collect();
    let mixed = naive.iter().filter(|world| world.mixed).count();
    let protocol = search("protocol", false, Mutation::None, budget());
    println!(
        "naive group: {} states, {mixed} of them after a step with two maps",
        naive.len()
    );

    expect_that!(mixed, gt(0));
    expect_that!(protocol.violation, none());
}
