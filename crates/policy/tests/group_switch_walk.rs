//! Exhaustive breadth-first walks over the expert map switch: in every step, all ranks that run
//! that step use one map.

mod group_world;

use std::cell::Cell;

use googletest::prelude::*;
use group_world::{Budget, Mutation, RANKS, Setup, World};
use pathfinding::directed::bfs::bfs;

/// What a walk found.
struct Walk {
    states: usize,
    /// States in which all ranks run the first, and the second, proposal.
    switched: [usize; 2],
    /// Shortest list of events to a step run with two maps.
    violation: Option<Vec<String>>,
}

fn walk(name: &str, fencing: bool, mutation: Mutation, budget: Budget) -> Walk {
    let start = World::formed(Setup { fencing, mutation }, budget);
    let states = Cell::new(0);
    let switched = [Cell::new(0), Cell::new(0)];
    let path = bfs(
        &start,
        |world| {
            states.set(states.get() + 1);
            if let Some(index) = switched_to(world, &budget) {
                switched[index].set(switched[index].get() + 1);
            }
            let next = world.successors();
            next.into_iter().map(|(_, world)| world).collect::<Vec<_>>()
        },
        |world| world.violated,
    );
    let walk = Walk {
        states: states.get(),
        switched: switched.map(|count| count.get()),
        violation: path.map(|path| events_of(&path)),
    };
    println!("{name}: {} states, switched {:?}", walk.states, walk.switched);
    for (number, event) in walk.violation.iter().flatten().enumerate() {
        println!("  {number}: {event}");
    }
    walk
}

/// How many proposals are in force in all ranks, less one.
fn switched_to(world: &World, budget: &Budget) -> Option<usize> {
    let maps = world.engines.iter().map(|engine| engine.map);
    let maps: Vec<_> = maps.collect::<Option<_>>()?;
    let agreed = maps[0].term > 0 && maps.iter().all(|map| *map == maps[0]);
    let used = (budget.proposals - world.budget.proposals) as usize;
    (agreed && used > 0).then(|| used.min(2) - 1)
}

fn events_of(path: &[World]) -> Vec<String> {
    path.windows(2)
        .filter_map(|pair| {
            let next = pair[0].successors();
            next.into_iter().find(|(_, world)| *world == pair[1])
        })
        .map(|(event, _)| event)
        .collect()
}

fn budget() -> Budget {
    Budget {
        proposals: 2,
        leaders: 0,
        agent_restarts: 0,
        engine_losses: 0,
        lost_orders: 0,
        doubled: 0,
        late_replies: 0,
        last_step: 3,
    }
}

#[gtest]
fn two_switches_without_faults() {
    let found = walk("no faults", false, Mutation::None, budget());

    expect_that!(found.violation, none());
    expect_that!(found.switched, each(gt(0)));
    expect_that!(RANKS, ge(3));
}

/// Walks with one mix of faults, for engines without and with fencing.
fn expect_one_map(name: &str, budget: Budget) {
    for fencing in [false, true] {
        let found = walk(&format!("{name}, fencing {fencing}"), fencing, Mutation::None, budget);

        expect_that!(found.violation, none());
        expect_that!(found.switched, each(gt(0)));
    }
}

#[gtest]
fn leader_is_replaced_and_the_old_one_wakes() {
    expect_one_map("new leader", Budget { leaders: 1, ..budget() });
}

#[gtest]
fn agent_restarts() {
    expect_one_map("agent restart", Budget { agent_restarts: 1, ..budget() });
}

#[gtest]
fn orders_are_lost() {
    expect_one_map("lost order", Budget { lost_orders: 1, ..budget() });
}

#[gtest]
fn messages_are_doubled_and_late() {
    expect_one_map("doubled", Budget { doubled: 1, late_replies: 1, ..budget() });
}

#[gtest]
fn engine_restarts() {
    expect_one_map("engine restart", Budget { engine_losses: 1, ..budget() });
}
