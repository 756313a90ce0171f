//! Random histories of two groups of one service, whose ranks, epochs and terms are numbered alike:
//! heartbeats arrive in any order, agents are killed and restart, servers move between the groups, and
//! agents switch maps. No pass of either group begins while two of its ranks use different maps.

#[path = "switch_world/engine.rs"]
mod engine;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use engine::{Engine, EngineKind};
use googletest::prelude::*;
use jj_policy::{
    group_members::{GroupMembers, GroupTag, Sender, group_tag},
    map_switch::{self, Activation, Goal, NextAction, Pass, RankView, next_action},
    switch_run::{
        DeputyReport, DeputyState, RankOrderOutcome, SwitchInput, SwitchOrder, SwitchOutput,
        SwitchRoles, SwitchRun, next_term,
    },
};
use jj_utils::{clock::Timestamp, ids::Rank};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Ranks of each group.
const RANKS: usize = 3;
/// Servers of the service.
const SERVERS: usize = 2 * RANKS;
/// Events of one history.
const EVENTS: usize = 400;
/// Number of histories, one for each seed.
const HISTORIES: u64 = 400;
/// Inputs after which a run that has not ended is given up.
const MAX_INPUTS: usize = 200;

const ENGINES: EngineKind = EngineKind {
    fences: true,
    counts: true,
};

/// Part of the decisions that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// Agents take each heartbeat for one of their own group, and each message for one to it.
    IgnoreGroups,
    /// Engines that are read directly are not asked for their group and rank.
    TrustAddresses,
}

/// Rank of a group.
type Seat = (usize, Rank);

/// Agent beside a server.
#[derive(Default)]
struct Agent {
    members: GroupMembers<RankView>,
    term: u64,
    is_killed: bool,
}

struct World {
    mutation: Mutation,
    rng: Pcg64Mcg,
    /// What each server is.
    seats: [Seat; SERVERS],
    /// Engines by group and rank.
    engines: [[Engine; RANKS]; 2],
    passes: [Pass; 2],
    agents: [Agent; SERVERS],
    switches: u32,
    mixed_passes: u32,
}

fn tag(group: usize) -> GroupTag {
    group_tag(["a", "b"][group])
}

fn addr(server: usize) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, server as u8).into(), 80)
}

fn server_at(addr: SocketAddr) -> usize {
    (0..SERVERS).find(|it| self::addr(*it) == addr).unwrap()
}

impl World {
    fn new(seed: u64, mutation: Mutation) -> Self {
        let mut world = Self {
            mutation,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seats: std::array::from_fn(|server| (server / RANKS, (server % RANKS) as Rank)),
            engines: Default::default(),
            passes: [0; 2],
            agents: Default::default(),
            switches: 0,
            mixed_passes: 0,
        };
        (0..SERVERS).for_each(|it| world.start_agent(it));
        world
    }

    /// Starts the agent of a server, which knows nothing but its own engine.
    fn start_agent(&mut self, server: usize) {
        let mut agent = Agent::default();
        agent.members.join(tag(self.seats[server].0));
        self.agents[server] = agent;
    }

    fn view(&self, server: usize) -> RankView {
        let (group, rank) = self.seats[server];
        self.engines[group][rank as usize].view(self.passes[group])
    }

    /// Delivers a heartbeat.
    fn deliver_heartbeat(&mut self, from: usize, to: usize) {
        if from == to || self.agents[from].is_killed || self.agents[to].is_killed {
            return;
        }
        let (group, rank) = self.seats[from];
        let view = self.view(from);
        let agent = &mut self.agents[to];
        let sender = Sender {
            server: addr(from),
            rank,
        };
        let now = Timestamp::ZERO;
        let is_own = agent
            .members
            .is_own(now, tag(group), addr(from).ip(), false);
        match is_own || self.mutation == Mutation::IgnoreGroups {
            true => agent.members.record(now, sender, |_| view),
            false => {
                agent.members.record_outsider(now, addr(from).ip());
            }
        }
    }

    /// Has two servers of different groups change places, and both groups form anew. The agents of the
    /// others still take them for members until they hear of them.
    fn move_servers(&mut self) {
        let first = self.rng.random_range(0..SERVERS);
        let others: Vec<usize> = (0..SERVERS)
            .filter(|it| self.seats[*it].0 != self.seats[first].0)
            .collect();
        let second = others[self.rng.random_range(0..others.len())];
        self.seats.swap(first, second);
        self.engines = Default::default();
        self.passes = [0; 2];
        for server in [first, second] {
            if !self.agents[server].is_killed {
                // Its engine has named another group.
                self.start_agent(server);
            }
        }
    }

    fn begin_passes(&mut self) {
        for group in 0..2 {
            let pass = self.passes[group] + 1;
            let engines = &mut self.engines[group];
            if engines.iter().any(|it| it.held == Some(pass)) {
                continue;
            }
            self.passes[group] = pass;
            engines.iter_mut().for_each(|it| it.begin_pass(pass));
            let first = engines[0].map;
            self.mixed_passes += u32::from(engines.iter().any(|it| it.map != first));
        }
    }

    /// Has an agent switch the map of its group, if it leads and knows all ranks.
    fn lead(&mut self, server: usize) {
        let own = self.seats[server].1;
        let agent = &self.agents[server];
        let is_live = |rank: Rank| {
            let member = agent.members.server(rank).map(server_at);
            member.is_some_and(|it| !self.agents[it].is_killed)
        };
        if agent.is_killed || (0..own).any(is_live) {
            return;
        }
        let view = |rank: Rank| match rank == own {
            true => Some(self.view(server)),
            false => agent.members.get(rank).map(|it| it.status),
        };
        let views: Vec<Option<RankView>> = (0..RANKS as Rank).map(view).collect();
        let mut others = (0..RANKS as Rank).filter(|it| *it != own);
        let (Some(deputy), Some(gate)) = (others.next(), others.next()) else {
            return;
        };
        if !map_switch::no_switch_in_progress(&views) || !is_live(deputy) {
            return;
        }
        let roles = SwitchRoles {
            leader: own,
            deputy,
            gate,
        };
        let goal = Goal {
            term: next_term(agent.term, own),
            epoch: 1,
            version: map_switch::next_version(&views, self.rng.random()),
            pass: None,
        };
        self.agents[server].term = goal.term;
        self.run_switch(server, goal, roles);
    }

    /// Runs a switch to its end, with all answers at once.
    fn run_switch(&mut self, leader: usize, goal: Goal, roles: SwitchRoles) {
        let (mut run, mut outputs) = SwitchRun::lead(goal, roles, RANKS as u32, 0);
        for number in 0..MAX_INPUTS {
            let mut inputs = Vec::new();
            for output in outputs {
                match output {
                    SwitchOutput::End(ending) => {
                        self.switches +=
                            u32::from(ending == jj_policy::switch_run::Ending::Switched);
                        return;
                    }
                    output => inputs.extend(self.perform(leader, &run, roles, output)),
                }
            }
            if inputs.is_empty() {
                self.begin_passes();
                inputs.push(match number % 8 {
                    7 => SwitchInput::Timeout,
                    _ => SwitchInput::Tick,
                });
            }
            outputs = inputs.into_iter().flat_map(|it| run.handle(it)).collect();
        }
    }

    /// Returns the server that an agent takes for a rank.
    fn server_of(&self, agent: usize, rank: Rank) -> Option<usize> {
        match rank == self.seats[agent].1 {
            true => Some(agent),
            false => self.agents[agent].members.server(rank).map(server_at),
        }
    }

    /// Performs an output of a run; returns the answer.
    fn perform(
        &mut self,
        leader: usize,
        run: &SwitchRun,
        roles: SwitchRoles,
        output: SwitchOutput,
    ) -> Option<SwitchInput> {
        let goal = run.goal();
        match output {
            SwitchOutput::SendTask { rank, number } => {
                let server = self.server_of(leader, rank)?;
                self.execute_task(leader, server, rank, run.is_loading(), goal)
                    .map(|(view, outcome)| SwitchInput::View {
                        rank,
                        number,
                        view,
                        outcome,
                    })
            }
            SwitchOutput::SendOrder {
                rank,
                order,
                sequence,
            } => {
                let server = self.server_of(leader, rank)?;
                let outcome = self.order(server, goal.term, sequence, order);
                Some(SwitchInput::OrderOutcome { rank, outcome })
            }
            SwitchOutput::DelegateActivation {
                pass,
                gate_sequence,
                leader_sequence,
            } => {
                let deputy = self.server_of(leader, roles.deputy)?;
                if self.agents[deputy].is_killed || !self.are_of_one_group(leader, deputy) {
                    return None;
                }
                let gate = self.server_of(leader, roles.gate)?;
                let held = self.order(gate, goal.term, gate_sequence, SwitchOrder::Hold(pass));
                let activation = Activation {
                    version: goal.version,
                    pass,
                };
                let is_active = held.is_in_force()
                    && self
                        .order(
                            leader,
                            goal.term,
                            leader_sequence,
                            SwitchOrder::Activate(activation),
                        )
                        .is_in_force();
                let state = match is_active {
                    true => DeputyState::Active(activation),
                    false => DeputyState::NotOrdered,
                };
                let version = goal.version;
                Some(SwitchInput::DeputyReply {
                    report: DeputyReport { version, state },
                    is_fenced: held == RankOrderOutcome::Fenced,
                })
            }
            SwitchOutput::AskDeputy | SwitchOutput::End(_) => None,
        }
    }

    /// Returns whether an agent handles the messages of another one.
    fn are_of_one_group(&self, first: usize, second: usize) -> bool {
        let same = self.agents[first].members.group() == self.agents[second].members.group();
        same || self.mutation == Mutation::IgnoreGroups
    }

    /// Has the agent of a server load the map; the engine of a killed agent is ordered directly.
    fn execute_task(
        &mut self,
        leader: usize,
        server: usize,
        rank: Rank,
        is_loading: bool,
        goal: Goal,
    ) -> Option<(RankView, Option<RankOrderOutcome>)> {
        let is_trusted = self.mutation != Mutation::None;
        let is_addressed = match self.agents[server].is_killed {
            true => self.seats[server] == (self.seats[leader].0, rank) || is_trusted,
            false => self.are_of_one_group(leader, server),
        };
        if !is_addressed {
            return None;
        }
        let view = self.view(server);
        let goal = Goal { pass: None, ..goal };
        let has_to_load = next_action(&view, &goal, false) == NextAction::Load;
        let outcome = (is_loading && has_to_load).then(|| {
            let (group, rank) = self.seats[server];
            self.engines[group][rank as usize].load(ENGINES, goal.term, goal.version)
        });
        Some((self.view(server), outcome))
    }

    fn order(
        &mut self,
        server: usize,
        term: u64,
        sequence: u64,
        order: SwitchOrder,
    ) -> RankOrderOutcome {
        let (group, rank) = self.seats[server];
        let pass = self.passes[group];
        let engine = &mut self.engines[group][rank as usize];
        engine.execute(ENGINES, (term, sequence), order, pass)
    }

    fn play(&mut self) {
        for _ in 0..EVENTS {
            let (first, second) = (
                self.rng.random_range(0..SERVERS),
                self.rng.random_range(0..SERVERS),
            );
            match self.rng.random_range(0..100) {
                0..60 => self.deliver_heartbeat(first, second),
                60..75 => self.lead(first),
                75..90 => self.begin_passes(),
                90..94 => self.agents[first].is_killed = true,
                94..99 if self.agents[first].is_killed => self.start_agent(first),
                99 => self.move_servers(),
                _ => {}
            }
        }
        (0..4).for_each(|_| self.begin_passes());
    }
}

/// Returns the number of switches and of passes with two maps in all histories.
fn play_histories(mutation: Mutation) -> (u32, u32) {
    let mut sums = (0, 0);
    for seed in 0..HISTORIES {
        let mut world = World::new(seed, mutation);
        world.play();
        sums.0 += world.switches;
        sums.1 += world.mixed_passes;
        if mutation == Mutation::None {
            expect_that!(world.mixed_passes, eq(0), "seed {seed}");
        }
    }
    println!(
        "{mutation:?}: {} switches, {} passes with two maps",
        sums.0, sums.1
    );
    sums
}

/// Guards against agents that take servers of another group for ranks of their own (MAP).
#[gtest]
fn no_pass_of_two_groups_mixes_maps() {
    let (switches, mixed_passes) = play_histories(Mutation::None);

    expect_that!(switches, gt(HISTORIES as u32));
    expect_that!(mixed_passes, eq(0));
}

/// Shows that the histories find the fault of agents that keep others by rank alone.
#[gtest]
fn agents_that_ignore_groups_mix_maps() {
    let (_, mixed_passes) = play_histories(Mutation::IgnoreGroups);

    expect_that!(mixed_passes, gt(0));
}

/// Shows that the histories find the fault of agents that order at the address of a former member.
#[gtest]
fn agents_that_trust_the_address_of_a_silent_server_mix_maps() {
    let (_, mixed_passes) = play_histories(Mutation::TrustAddresses);

    expect_that!(mixed_passes, gt(0));
}

/// Guards against a server that is kept under two ranks, or as a member after it has named another
/// group.
#[gtest]
fn server_is_one_rank_of_one_group() {
    let mut members: GroupMembers<u32> = GroupMembers::default();
    let now = Duration::from_secs(1);
    let (own, other) = (group_tag("a"), group_tag("b"));
    let sender = |rank| Sender {
        server: addr(1),
        rank,
    };

    let is_own_before = members.is_own(now, own, addr(1).ip(), true);
    members.join(own);
    members.record(now, sender(2), |_| 1);
    members.record(now, sender(0), |_| 2);
    let ranks: Vec<Rank> = members.iter().map(|(rank, _)| rank).collect();
    let was_member = members.record_outsider(now, addr(1).ip());

    expect_that!(is_own_before, eq(false));
    expect_that!(ranks, elements_are![eq(&0)]);
    expect_that!(was_member, eq(true));
    expect_that!(members.server(0), none());
    expect_that!(members.is_own(now, 0, addr(1).ip(), true), eq(false));
    expect_that!(members.is_own(now, 0, addr(2).ip(), true), eq(true));
    expect_that!(members.is_own(now, 0, addr(2).ip(), false), eq(false));
    expect_that!(members.is_own(now, other, addr(2).ip(), true), eq(false));
}
