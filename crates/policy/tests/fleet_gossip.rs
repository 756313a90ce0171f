//! Entries of fleets of all sizes learn who is alive and what is in flight, at a cost that hardly grows.

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

/// A fleet whose entries know each other.
fn settled(count: usize, seed: u64) -> World {
    let mut world = World::start(count, DOMAINS, &GossipConfig::default(), seed);
    world.run(secs(5));
    world
}

#[gtest]
fn entries_that_start_at_once_know_each_other_within_seconds() {
    for (count, seed) in [(6, 1), (9, 2), (40, 3), (149, 4), (390, 5)] {
        let mut world = World::start(count, DOMAINS, &GossipConfig::default(), seed);

        let time = world.run_until(secs(10), World::all_know_all);

        expect_that!(time, some(lt(secs(3))), "{count} entries");
    }
}

#[gtest]
fn nobody_alive_passes_for_silent_while_one_message_in_ten_is_lost() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3), (390, 4)] {
        let mut world = settled(count, seed);
        world.network.loss = 0.1;

        for _ in 0..40 {
            world.run(Duration::from_millis(200));

            expect_that!(
                world.all_know_all(),
                eq(true),
                "{count} entries at {:?}",
                world.now
            );
        }
    }
}

#[gtest]
fn killed_entries_are_known_to_be_gone_and_restarted_ones_to_be_back() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        let killed = count / 6;
        for which in 0..killed {
            world.nodes[which].is_running = false;
        }

        let gone = world.run_until(secs(5), World::all_know_all);
        for which in 0..killed {
            world.restart(which, DOMAINS, &GossipConfig::default(), 2);
        }
        let back = world.run_until(secs(5), World::all_know_all);

        expect_that!(
            gone,
            some(lt(Duration::from_millis(2_500))),
            "{count} entries"
        );
        expect_that!(back, some(lt(secs(3))), "{count} entries");
    }
}

#[gtest]
fn a_failure_domain_that_is_cut_off_is_known_again_soon_after() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        world.network.cut = Some(1);
        world.run(secs(8));

        world.network.cut = None;
        let time = world.run_until(secs(10), World::all_know_all);

        expect_that!(time, some(lt(secs(4))), "{count} entries");
    }
}

#[gtest]
fn all_know_what_is_in_flight_shortly_after_it_has_changed() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        for _ in 0..200 {
            world.churn(SERVERS, 5);
            world.run(Duration::from_millis(10));
        }

        world.run(Duration::from_millis(60));

        expect_that!(world.wrong(SERVERS), eq(0), "{count} entries");
    }
}

#[gtest]
fn lost_messages_on_what_is_in_flight_are_made_good() {
    for (count, seed) in [(9, 1), (40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        world.network.loss = 0.1;
        for _ in 0..200 {
            world.churn(SERVERS, 5);
            world.run(Duration::from_millis(10));
        }

        let time = world.run_until(secs(4), |it| it.wrong(SERVERS) == 0);

        expect_that!(time, some(lt(secs(2))), "{count} entries");
    }
}

#[gtest]
fn the_sums_are_right_again_soon_after_aggregators_have_stopped() {
    for (count, seed) in [(40, 2), (149, 3)] {
        let mut world = settled(count, seed);
        world.churn(SERVERS, 400);
        world.run(secs(1));
        for which in 0..3 {
            world.nodes[which].is_running = false;
        }
        world.churn(SERVERS, 100);

        let time = world.run_until(secs(6), |it| it.wrong(SERVERS) == 0);

        expect_that!(
            time,
            some(lt(Duration::from_millis(2_500))),
            "{count} entries"
        );
    }
}

/// What an entry sends and receives in a second.
#[derive(Debug)]
struct Cost {
    /// Messages of the mean entry.
    mean: f64,
    /// Messages of the busiest one.
    most: f64,
    /// Bytes that the mean entry sends to other failure domains.
    far_bytes: f64,
}

/// What a fleet tells each other at a load that grows with it.
fn cost(count: usize, config: &GossipConfig) -> Cost {
    let mut world = World::start(count, DOMAINS, config, 7);
    world.run(secs(3));
    for node in &mut world.nodes {
        (node.sent, node.received, node.sent_bytes, node.far_bytes) = (0, 0, 0, 0);
    }
    for _ in 0..50 {
        // Seven changes a second and entry.
        world.churn(count as u32, count * 7 / 50);
        world.run(Duration::from_millis(20));
    }
    let messages = world.nodes.iter().map(|it| (it.sent + it.received) as f64);
    let far_bytes = world.nodes.iter().map(|it| it.far_bytes as f64);
    Cost {
        mean: messages.clone().sum::<f64>() / count as f64,
        most: messages.fold(0.0, f64::max),
        far_bytes: far_bytes.sum::<f64>() / count as f64,
    }
}

#[gtest]
fn what_an_entry_sends_hardly_grows_with_the_fleet() {
    let naive = GossipConfig {
        full_mesh_entries: 1_000,
        ..GossipConfig::default()
    };

    let small = cost(30, &GossipConfig::default());
    let large = cost(150, &GossipConfig::default());
    let all_small = cost(30, &naive);
    let all_large = cost(150, &naive);

    expect_that!(large.mean / small.mean, lt(1.5), "{small:?} {large:?}");
    expect_that!(large.most / small.most, lt(5.0), "{small:?} {large:?}");
    expect_that!(
        all_large.mean / all_small.mean,
        gt(4.0),
        "{all_small:?} {all_large:?}"
    );
    expect_that!(all_large.far_bytes / large.far_bytes, gt(10.0));
}
