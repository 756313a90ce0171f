//! Exhaustive search over message orders, losses and agent crashes of a held start: the verdict
//! "not run" is never given for a request that runs.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use googletest::prelude::*;
use jj_policy::{held_start::HeldStart, verdict::Verdict};

/// Maximum number of releases that an entry sends; the agent may ask again over a new connection.
const MAX_RELEASES: u8 = 2;

/// State of one attempt: its agent, its entry and the messages in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct World {
    agent: Agent,
    /// State of the start at the entry.
    start: HeldStart,
    /// Whether the entry has given its verdict, and whether that is "not run".
    has_verdict: bool,
    is_not_run: bool,
    held_sent: bool,
    ready_sent: bool,
    /// Releases in transit, which may arrive late or never.
    releases_in_transit: u8,
    releases_sent: u8,
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

/// Rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// The agent starts a held request without its release.
    StartsUnreleased,
    /// The entry forgets that it has sent a release.
    ForgetsRelease,
    /// The entry treats a request as held without a report of the agent.
    AssumesHeld,
}

/// Returns all possible next states.
fn next_worlds(world: World, mutation: Mutation) -> Vec<World> {
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
    if world.releases_in_transit > 0 {
        let arrived = World {
            releases_in_transit: world.releases_in_transit - 1,
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
    if world.has_verdict {
        return Vec::new();
    }
    let mut next = Vec::new();
    if world.held_sent || mutation == Mutation::AssumesHeld {
        let mut held = world;
        held.start.record_held();
        next.push(held);
    }
    if world.ready_sent && world.start.may_release() && world.releases_sent < MAX_RELEASES {
        let mut released = World {
            releases_in_transit: world.releases_in_transit + 1,
            releases_sent: world.releases_sent + 1,
            ..world
        };
        if mutation != Mutation::ForgetsRelease {
            released.start.record_release();
        }
        next.push(released);
    }
    // The connection may be lost for good at any time.
    let verdict = world
        .start
        .verdict_after_failure(Verdict::MayHaveRun, Duration::ZERO);
    let is_not_run = matches!(verdict, Verdict::NotRun { .. });
    next.push(World {
        has_verdict: true,
        is_not_run,
        ..world
    });
    next
}

/// Returns all reachable states and the number of those in which the verdict "not run" was given
/// for a request that ran.
fn walk(mutation: Mutation) -> (HashSet<World>, usize) {
    let mut seen = HashSet::from([World::default()]);
    let mut open = VecDeque::from([World::default()]);
    while let Some(world) = open.pop_front() {
        for next in next_worlds(world, mutation) {
            if seen.insert(next) {
                open.push_back(next);
            }
        }
    }
    let violations = seen.iter().filter(|world| world.is_not_run && world.ran);
    let count = violations.count();
    (seen, count)
}

#[gtest]
fn not_run_is_never_reported_for_a_request_that_runs() {
    let (states, violations) = walk(Mutation::None);

    println!("{} states", states.len());
    expect_that!(violations, eq(0));
    // The search covers both outcomes: "not run" verdicts, and requests that run after a release.
    expect_that!(states.iter().any(|world| world.is_not_run), eq(true));
    expect_that!(
        states
            .iter()
            .any(|world| world.ran && world.releases_sent > 0),
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
