//! Every order of messages, losses and deaths around a held start: "not run" is never false.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use googletest::prelude::*;
use jj_policy::{held_start::HeldStart, verdict::Verdict};

/// Most releases that an entry sends; the agent may ask again over a new connection.
const RELEASES: u8 = 2;

/// One attempt: its agent, its entry, and what is on the way between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct World {
    agent: Agent,
    /// The entry's knowledge, and its verdict once it has one.
    known: HeldStart,
    concluded: bool,
    says_not_run: bool,
    held_sent: bool,
    ready_sent: bool,
    /// Releases on the way, which may come late or never.
    on_way: u8,
    sent: u8,
    ran: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
enum Agent {
    #[default]
    Arrived,
    Held,
    Ready,
    Started,
    GaveUp,
    Dead,
}

/// Which rule is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// The agent starts a held request without its release.
    StartsUnreleased,
    /// The entry forgets that it has sent a release.
    ForgetsRelease,
    /// The entry calls a request not run that it was never told is held.
    AssumesHeld,
}

/// Everything that can happen next.
fn steps(world: World, mutation: Mutation) -> Vec<World> {
    let mut next = agent_steps(world, mutation);
    next.extend(entry_steps(world, mutation));
    next
}

fn agent_steps(world: World, mutation: Mutation) -> Vec<World> {
    let started = World {
        agent: Agent::Started,
        ran: true,
        ..world
    };
    let mut next = match world.agent {
        Agent::Arrived => vec![
            started,
            World {
                agent: Agent::Held,
                held_sent: true,
                ..world
            },
        ],
        Agent::Held => vec![World {
            agent: Agent::Ready,
            ready_sent: true,
            ..world
        }],
        Agent::Ready => vec![World {
            agent: Agent::GaveUp,
            ..world
        }],
        Agent::Started | Agent::GaveUp | Agent::Dead => Vec::new(),
    };
    if world.agent == Agent::Ready && mutation == Mutation::StartsUnreleased {
        next.push(started);
    }
    if world.on_way > 0 {
        let arrived = World {
            on_way: world.on_way - 1,
            ..world
        };
        next.push(match world.agent {
            Agent::Ready => World {
                agent: Agent::Started,
                ran: true,
                ..arrived
            },
            _ => arrived,
        });
    }
    if world.agent != Agent::Dead {
        next.push(World {
            agent: Agent::Dead,
            ..world
        });
    }
    next
}

fn entry_steps(world: World, mutation: Mutation) -> Vec<World> {
    if world.concluded {
        return Vec::new();
    }
    let mut next = Vec::new();
    if world.held_sent || mutation == Mutation::AssumesHeld {
        let mut told = world;
        told.known.record_held();
        next.push(told);
    }
    if world.ready_sent && world.known.may_release() && world.sent < RELEASES {
        let mut released = World {
            on_way: world.on_way + 1,
            sent: world.sent + 1,
            ..world
        };
        if mutation != Mutation::ForgetsRelease {
            released.known.record_release();
        }
        next.push(released);
    }
    // The link may be lost for good at any moment.
    let verdict = world
        .known
        .verdict_after_failure(Verdict::MayHaveRun, Duration::ZERO);
    let says_not_run = matches!(verdict, Verdict::NotRun { .. });
    next.push(World {
        concluded: true,
        says_not_run,
        ..world
    });
    next
}

/// All states, and those in which "not run" was said of a request that runs.
fn walk(mutation: Mutation) -> (HashSet<World>, usize) {
    let mut seen = HashSet::from([World::default()]);
    let mut open = VecDeque::from([World::default()]);
    while let Some(world) = open.pop_front() {
        for next in steps(world, mutation) {
            if seen.insert(next) {
                open.push_back(next);
            }
        }
    }
    let false_claims = seen.iter().filter(|world| world.says_not_run && world.ran);
    let count = false_claims.count();
    (seen, count)
}

#[gtest]
fn not_run_is_never_reported_for_a_request_that_runs() {
    let (states, violations) = walk(Mutation::None);

    println!("{} states", states.len());
    expect_that!(violations, eq(0));
    // The rule says something: requests that waited are known not to have run, and some do run.
    expect_that!(states.iter().any(|world| world.says_not_run), eq(true));
    expect_that!(
        states.iter().any(|world| world.ran && world.sent > 0),
        eq(true)
    );
}

#[gtest]
fn walk_finds_a_violation_for_each_mutation() {
    for mutation in [
        Mutation::StartsUnreleased,
        Mutation::ForgetsRelease,
        Mutation::AssumesHeld,
    ] {
        let (states, violations) = walk(mutation);
        println!("{mutation:?}: {violations} of {} states", states.len());
        expect_that!(violations, gt(0), "{mutation:?}");
    }
}
