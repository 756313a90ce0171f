//! The watchers of a group as each of its agents computes them, and the sampling of counts.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use googletest::prelude::*;
use jj_policy::{expert_demand::CountSampling, watchers::Watchers};
use jj_utils::clock::Timestamp;

/// Time between two rounds in which the watchers are chosen and send heartbeats.
const ROUND: Duration = Duration::from_millis(100);

fn server(index: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 2, 0, index), 8_000).into()
}

fn order(count: u8) -> Vec<SocketAddr> {
    (1..=count).map(server).collect()
}

/// Agents of a group in virtual time; all of them receive the heartbeats of the watchers.
struct Group {
    now: Timestamp,
    order: Vec<SocketAddr>,
    agents: BTreeMap<SocketAddr, Agent>,
}

#[derive(Default)]
struct Agent {
    watchers: Watchers,
    last_seen: BTreeMap<SocketAddr, Timestamp>,
    is_running: bool,
}

impl Group {
    fn start(count: u8) -> Self {
        let order = order(count);
        let agents = order.iter().map(|it| {
            let agent = Agent {
                is_running: true,
                ..Agent::default()
            };
            (*it, agent)
        });
        Self {
            now: Timestamp::ZERO,
            agents: agents.collect(),
            order,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += ROUND;
            self.run_round();
        }
    }

    fn run_round(&mut self) {
        let running: Vec<SocketAddr> = self.running().collect();
        let mut sending = Vec::new();
        for server in &running {
            let agent = self.agents.get_mut(server).unwrap();
            let last_seen = &agent.last_seen;
            let last_seen = |it: SocketAddr| last_seen.get(&it).copied();
            agent
                .watchers
                .choose(self.now, *server, &self.order, last_seen);
            if agent.watchers.contains(*server) {
                sending.push(*server);
            }
        }
        for server in &running {
            let agent = self.agents.get_mut(server).unwrap();
            agent
                .last_seen
                .extend(sending.iter().map(|it| (*it, self.now)));
        }
    }

    fn running(&self) -> impl Iterator<Item = SocketAddr> {
        let running = self.agents.iter().filter(|(_, it)| it.is_running);
        running.map(|(server, _)| *server)
    }

    /// Returns the watchers that all running agents agree on; `None` if they differ.
    fn watchers(&self) -> Option<Vec<SocketAddr>> {
        let mut views = self
            .running()
            .map(|it| self.agents[&it].watchers.chosen().to_vec());
        let first = views.next()?;
        views.all(|it| it == first).then_some(first)
    }
}

#[gtest]
fn all_agents_watch_in_a_small_group() {
    let mut group = Group::start(16);

    group.run(Duration::from_secs(3));

    expect_that!(group.watchers(), some(eq(&order(16))));
}

#[gtest]
fn four_agents_watch_a_large_group() {
    let mut group = Group::start(192);

    group.run(Duration::from_secs(3));

    expect_that!(group.watchers(), some(eq(&order(4))));
}

#[gtest]
fn stopped_watchers_are_replaced_and_return_after_a_restart() {
    let mut group = Group::start(192);
    group.run(Duration::from_secs(3));
    for gone in [1, 3] {
        group.agents.insert(server(gone), Agent::default());
    }

    group.run(Duration::from_secs(3));
    let without = group.watchers();
    for back in [1, 3] {
        group.agents.get_mut(&server(back)).unwrap().is_running = true;
    }
    group.run(Duration::from_secs(3));

    expect_that!(
        without,
        some(eq(&vec![server(2), server(4), server(5), server(6)]))
    );
    expect_that!(group.watchers(), some(eq(&order(4))));
}

#[gtest]
fn agents_agree_on_watchers_after_a_simultaneous_restart() {
    let mut group = Group::start(72);
    group.run(Duration::from_secs(3));
    for agent in group.agents.values_mut() {
        *agent = Agent {
            is_running: true,
            ..Agent::default()
        };
    }

    group.run(Duration::from_millis(400));

    expect_that!(group.watchers(), some(eq(&order(4))));
}

#[gtest]
fn sampled_counts_fit_the_link_of_the_leader() {
    /// Bytes per second that counts may use: half of a link of 6 Mbit/s, at one byte or more per
    /// count.
    const MAX_BYTES_PER_SECOND: f64 = 375_000.0;
    for (ranks, counts) in [(12, 288), (16, 256), (63, 2_016), (72, 1_728), (192, 3_840)] {
        let sampling = CountSampling::new(ranks, counts);

        let reporting = (0..ranks).filter(|it| sampling.is_sampled(*it)).count();
        let bytes = (reporting * counts) as f64 / sampling.interval.as_secs_f64();
        expect_that!(bytes, lt(MAX_BYTES_PER_SECOND), "{ranks} ranks");
        expect_that!(reporting, ge(12), "{ranks} ranks");
        expect_that!(
            sampling.interval,
            le(Duration::from_millis(250)),
            "{ranks} ranks"
        );
    }
}
