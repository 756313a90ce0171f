//! Weighs the schemes for once-only requests: doubled runs under random schedules with faults,
//! and what a vanished home does to fresh requests.

use std::fmt::Write;

use jj_utils::common_derives;
use rand::RngExt;
use rand_pcg::{Pcg64, rand_core::SeedableRng};

use super::once_world::{Scheme, Told, World};

/// Every scheme, in the order of the table.
pub const SCHEMES: [Scheme; 5] = [
    Scheme::Issued,
    Scheme::Unanimous,
    Scheme::Ranked,
    Scheme::RankOnly,
    Scheme::EntryMemory,
];

const AGENTS: usize = 3;
const ENTRIES: usize = 6;
const SCHEDULES: u64 = 2_000;
const WORKS: usize = 12;
const STEPS: usize = 300;
const FRESH: usize = 600;

common_derives! {value:
    /// Sums over random schedules of one scheme.
    #[derive(Copy, Default)]
    pub struct Explored {
        /// Requests in all schedules.
        pub works: u32,
        /// Requests that ran more than once.
        pub doubled: u32,
        /// Requests whose callers were left with "may have run" or no answer.
        pub unknown: u32,
    }
}

common_derives! {value:
    /// Fresh requests after one of the agents vanished, in shares of 1.
    #[derive(Copy, Default)]
    pub struct Vanished {
        /// Left unknown while the entries still believe in the vanished agent.
        pub before_views: f64,
        /// Left unknown after every entry has learned of it.
        pub after_views: f64,
        /// Left unknown when the key was taken before the loss and first sent after it.
        pub old_keys: f64,
        /// Calls between agents for each request in normal service.
        pub calls: f64,
    }
}

/// Runs random schedules: reordered messages, callers that retry at other entries, crashes with
/// and without replacement, frozen agents that wake, and views that lag.
pub fn explore(scheme: Scheme, seed: u64, schedules: u64) -> Explored {
    let mut sum = Explored::default();
    for schedule in 0..schedules {
        let rng = Pcg64::seed_from_u64(seed ^ schedule.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut world = World::new(scheme, AGENTS, ENTRIES, rng);
        for _ in 0..STEPS {
            step(&mut world);
        }
        world.settle();
        for work in &world.works {
            sum.works += 1;
            sum.doubled += u32::from(work.runs > 1);
            sum.unknown += u32::from(work.told != Told::Ran);
        }
    }
    sum
}

fn step(world: &mut World) {
    let slot = world.rng.random_range(0..world.agents.len());
    match world.rng.random_range(0..100) {
        0..12 if world.works.len() < WORKS => {
            let work = world.take_key();
            world.submit(work);
        }
        12..20 if !world.works.is_empty() => {
            let work = world.rng.random_range(0..world.works.len());
            if world.works[work].told != Told::Ran {
                world.submit(work);
            }
        }
        20..21 => world.crash(slot, true),
        21..22 if slot != 0 => world.crash(slot, false),
        22..25 => world.agents[slot].frozen = true,
        25..30 => world.agents[slot].frozen = false,
        30..35 => {
            let entry = world.rng.random_range(0..world.views.len());
            world.refresh_view(entry);
        }
        _ => world.deliver(),
    }
}

/// One agent vanishes for good; its callers retry twice at other entries.
pub fn vanish(scheme: Scheme, seed: u64) -> Vanished {
    let mut world = World::new(scheme, AGENTS, ENTRIES, Pcg64::seed_from_u64(seed));
    let normal = run_batch(&mut world, FRESH);
    let calls = f64::from(world.fences) / normal.len() as f64;
    let old: Vec<usize> = (0..FRESH).map(|_| world.take_key()).collect();
    world.crash(AGENTS - 1, false);
    let before = run_batch(&mut world, FRESH);
    (0..ENTRIES).for_each(|entry| world.refresh_view(entry));
    let after = run_batch(&mut world, FRESH);
    send(&mut world, &old);
    Vanished {
        before_views: unknown_share(&world, &before),
        after_views: unknown_share(&world, &after),
        old_keys: unknown_share(&world, &old),
        calls,
    }
}

fn run_batch(world: &mut World, count: usize) -> Vec<usize> {
    let works: Vec<usize> = (0..count).map(|_| world.take_key()).collect();
    send(world, &works);
    works
}

fn send(world: &mut World, works: &[usize]) {
    for _ in 0..3 {
        for work in works {
            if world.works[*work].told != Told::Ran {
                world.submit(*work);
            }
        }
        world.settle();
    }
}

fn unknown_share(world: &World, works: &[usize]) -> f64 {
    let unknown = works
        .iter()
        .filter(|it| world.works[**it].told != Told::Ran);
    unknown.count() as f64 / works.len() as f64
}

/// The comparison as a Markdown table.
pub fn run(seed: u64) -> String {
    let mut out = format!(
        "{SCHEDULES} schedules a scheme, {AGENTS} agents, {ENTRIES} entries, seed {seed}\n\n\
         | scheme | requests | doubled | unknown | fresh unknown, views old | \
         fresh unknown, views new | old keys unknown | calls a request |\n\
         |---|---|---|---|---|---|---|---|\n"
    );
    for scheme in SCHEMES {
        let explored = explore(scheme, seed, SCHEDULES);
        let vanished = vanish(scheme, seed);
        let _ = writeln!(
            out,
            "| {scheme:?} | {} | {} | {} | {:.1} % | {:.1} % | {:.1} % | {:.2} |",
            explored.works,
            explored.doubled,
            explored.unknown,
            vanished.before_views * 100.0,
            vanished.after_views * 100.0,
            vanished.old_keys * 100.0,
            vanished.calls,
        );
    }
    out
}
