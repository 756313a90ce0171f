//! Gossip and in-flight sums in fleets of all sizes: convergence after failures, and cost per
//! entry.

mod fleet_world;

use std::time::Duration;

use fleet_world::World;
use googletest::prelude::*;
use jj_policy::gossip::GossipConfig;

const DOMAINS: usize = 5;

const SERVERS: u32 = 200;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a fleet whose entries know each other.
fn settled(count: usize, seed: u64) -> World {
    let mut world = World::start(count, DOMAINS, &GossipConfig::default(), seed);
    world.run(secs(5));
    world
}

#[gtest]
fn entries_that_start_together_know_each_other_within_three_seconds() {
    for (count, seed) in [(6, 1), (9, 2), (40, 3), (149, 4), (390, 5)] {
        let mut world = World::start(count, DOMAINS, &GossipConfig::default(), seed);

        let time = world.run_until(secs(10), World::all_memberships_are_right);

        expect_that!(time, some(lt(secs(3))), "{count} entries");
    }
}

#[gtest]
fn no_live_entry_counts_as_silent_at_ten_percent_loss() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3), (390, 4)] {
        let mut world = settled(count, seed);
        world.network.loss = 0.1;

        for _ in 0..40 {
            world.run(Duration::from_millis(200));

            expect_that!(
                world.all_memberships_are_right(),
                eq(true),
                "{count} entries at {:?}",
                world.now
            );
        }
    }
}

#[gtest]
fn killed_and_restarted_entries_are_detected_by_all() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        let killed = count / 6;
        for which in 0..killed {
            world.nodes[which].is_running = false;
        }

        let gone = world.run_until(secs(5), World::all_memberships_are_right);
        for which in 0..killed {
            world.restart(which, DOMAINS, &GossipConfig::default(), 2);
        }
        let back = world.run_until(secs(5), World::all_memberships_are_right);

        expect_that!(
            gone,
            some(lt(Duration::from_millis(2_500))),
            "{count} entries"
        );
        expect_that!(back, some(lt(secs(3))), "{count} entries");
    }
}

#[gtest]
fn partitioned_failure_domain_is_known_again_within_four_seconds() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        world.network.partitioned_domain = Some(1);
        world.run(secs(8));

        world.network.partitioned_domain = None;
        let time = world.run_until(secs(10), World::all_memberships_are_right);

        expect_that!(time, some(lt(secs(4))), "{count} entries");
    }
}

#[gtest]
fn in_flight_sums_are_right_60_ms_after_a_change() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        for _ in 0..200 {
            world.churn(SERVERS, 5);
            world.run(Duration::from_millis(10));
        }

        world.run(Duration::from_millis(60));

        expect_that!(
            world.entries_with_wrong_sums(SERVERS),
            eq(0),
            "{count} entries"
        );
    }
}

#[gtest]
fn in_flight_sums_recover_from_lost_messages() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        world.network.loss = 0.1;
        for _ in 0..200 {
            world.churn(SERVERS, 5);
            world.run(Duration::from_millis(10));
        }

        let time = world.run_until(secs(4), |it| it.entries_with_wrong_sums(SERVERS) == 0);

        expect_that!(time, some(lt(secs(2))), "{count} entries");
    }
}

#[gtest]
fn in_flight_sums_recover_after_aggregators_stop() {
    for (count, seed) in [(40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        world.churn(SERVERS, 400);
        world.run(secs(1));
        for which in 0..3 {
            world.nodes[which].is_running = false;
        }
        world.churn(SERVERS, 100);

        let time = world.run_until(secs(6), |it| it.entries_with_wrong_sums(SERVERS) == 0);

        expect_that!(
            time,
            some(lt(Duration::from_millis(2_500))),
            "{count} entries"
        );
    }
}

/// Messages and bytes of an entry in one second.
#[derive(Debug)]
struct Cost {
    /// Mean number of messages per entry.
    mean: f64,
    /// Messages of the busiest entry.
    busiest: f64,
    /// Mean bytes that an entry sends to other failure domains.
    other_domain_bytes: f64,
}

/// Measures a fleet under a load that grows with it.
fn cost(count: usize, config: &GossipConfig) -> Cost {
    let mut world = World::start(count, DOMAINS, config, 7);
    world.run(secs(3));
    for node in &mut world.nodes {
        (
            node.sent,
            node.received,
            node.sent_bytes,
            node.other_domain_bytes,
        ) = (0, 0, 0, 0);
    }
    for _ in 0..50 {
        // Seven changes per second and entry.
        world.churn(count as u32, count * 7 / 50);
        world.run(Duration::from_millis(20));
    }
    let messages = world.nodes.iter().map(|it| (it.sent + it.received) as f64);
    let other_domain_bytes = world.nodes.iter().map(|it| it.other_domain_bytes as f64);
    Cost {
        mean: messages.clone().sum::<f64>() / count as f64,
        busiest: messages.fold(0.0, f64::max),
        other_domain_bytes: other_domain_bytes.sum::<f64>() / count as f64,
    }
}

#[gtest]
fn messages_per_entry_hardly_grow_with_the_fleet() {
    let naive = GossipConfig {
        full_mesh_entries: 1_000,
        ..GossipConfig::default()
    };

    let small = cost(30, &GossipConfig::default());
    let large = cost(150, &GossipConfig::default());
    let mesh_small = cost(30, &naive);
    let mesh_large = cost(150, &naive);

    expect_that!(large.mean / small.mean, lt(1.5), "{small:?} {large:?}");
    expect_that!(
        large.busiest / small.busiest,
        lt(5.0),
        "{small:?} {large:?}"
    );
    expect_that!(
        mesh_large.mean / mesh_small.mean,
        gt(4.0),
        "{mesh_small:?} {mesh_large:?}"
    );
    expect_that!(
        mesh_large.other_domain_bytes / large.other_domain_bytes,
        gt(10.0)
    );
}
