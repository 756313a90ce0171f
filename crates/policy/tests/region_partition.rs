//! Partition of a large fleet into two regions for an hour, in virtual time: simulates the
//! decisions of every process, one round of heartbeats after the other.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use jj_policy::{
    authority::{Authority, AuthorityConfig, AuthorityState, PeerAnswer},
    config_versions::{ConfigVersion, ConfigVersions, Readiness, StartupCheck, VersionDecision},
    coverage::{self, AgentsPerService, CoverageConfig},
    membership::{Heartbeat, MemberState, Membership, MembershipConfig},
    subset::Node,
    witnesses::{self, Witnesses},
};

const ENTRIES: usize = 390;
const AGENTS: usize = 650;
const MODELS: usize = 28;
const WITNESSES: usize = 3;
const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Failure domains of the remote region, the one without the configuration service.
const REMOTE_DOMAINS: [&str; 2] = ["d", "e"];
/// Duration of a round, the time between two heartbeats.
const ROUND: Duration = Duration::from_secs(2);
/// Rounds before the partition.
const ROUNDS_BEFORE: u64 = 30;
/// Rounds of the partition: one hour.
const ROUNDS_PARTITIONED: u64 = 1800;
/// Rounds after the partition has healed.
const ROUNDS_AFTER: u64 = 30;
/// Rounds between two configuration changes; that makes 910 a day.
const ROUNDS_PER_CHANGE: u64 = 47;
/// Maximum time until a change is in force on every process.
const CHANGE_BOUND: Duration = Duration::from_secs(7);

/// Simulated entry or agent.
struct Process {
    id: String,
    domain: &'static str,
    authority: Authority,
    versions: ConfigVersions,
    members: Membership,
    witnesses: Witnesses,
    /// Agents that an entry polls, by position among all processes.
    agents: Vec<usize>,
    /// Time of the last request that each witness answered.
    answered: BTreeMap<usize, Duration>,
}

impl Process {
    fn is_remote(&self) -> bool {
        REMOTE_DOMAINS.contains(&self.domain)
    }

    /// Offers a version; returns false if the index in force went down.
    fn offer_version(&mut self, index: u64) -> bool {
        let before = self.versions.index_in_force();
        let version = ConfigVersion {
            index,
            digest: format!("{index}"),
        };
        if self.versions.offer(&version, || Ok(())) == VersionDecision::Accepted {
            let domains = DOMAINS.iter().map(|name| (*name).to_owned());
            self.authority.set_in_force(index, domains);
        }
        self.versions.index_in_force() >= before
    }
}

/// Observations of one round.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct RoundOutcome {
    /// Processes of each region that take no new work.
    idle_home: usize,
    idle_remote: usize,
    /// Processes of each region that are behind the newest index.
    behind_home: usize,
    behind_remote: usize,
    /// Number of times that a process's index went down.
    index_decreases: usize,
}

struct Fleet {
    processes: Vec<Process>,
    has_spares: bool,
}

impl Fleet {
    /// Creates the fleet. Without `has_spares`, no spare witness is ever polled.
    fn new(has_spares: bool) -> Self {
        let names = (0..ENTRIES).map(|n| (format!("entry-{n}"), DOMAINS[n % 5]));
        let names = names.chain((0..AGENTS).map(|n| (format!("agent-{n}"), DOMAINS[n % 5])));
        let names: Vec<(String, &'static str)> = names.collect();
        let nodes = names.iter().map(|(id, domain)| Node { id, domain });
        let nodes: Vec<Node<'_>> = nodes.collect();
        let (entries, agents) = nodes.split_at(ENTRIES);
        let mut services = AgentsPerService::new();
        for number in 0..AGENTS {
            *services.entry(model(number)).or_default() += 1;
        }
        let covered = coverage::assign(&CoverageConfig::default(), entries, &services);
        let process = |(position, node): (usize, &Node<'_>)| {
            let all = (0..AGENTS).filter(|&n| covered.covers(position, &model(n)));
            let mut others = entries.to_vec();
            others.retain(|other| other.id != node.id);
            let mut found = witnesses::choose(node.id, &others, WITNESSES);
            // Positions among the other entries become positions among all processes.
            let shift = |at: &mut usize| *at += usize::from(position <= *at && position < ENTRIES);
            found
                .chosen
                .iter_mut()
                .chain(&mut found.spare)
                .for_each(shift);
            Process {
                id: node.id.to_owned(),
                domain: names[position].1,
                authority: Authority::new(AuthorityConfig::default(), node.domain.to_owned()),
                versions: ConfigVersions::default(),
                members: Membership::new(MembershipConfig {
                    suspect_after: ROUND * 2,
                    gone_after: ROUND * 3,
                    ..MembershipConfig::default()
                }),
                witnesses: found,
                agents: match position < ENTRIES {
                    true => all.map(|n| ENTRIES + n).collect(),
                    false => Vec::new(),
                },
                answered: BTreeMap::new(),
            }
        };
        assert_eq!(agents.len(), AGENTS);
        Self {
            processes: nodes.iter().enumerate().map(process).collect(),
            has_spares,
        }
    }

    /// Runs one round: processes that reach the configuration service read it, then all poll their
    /// peers and take newer versions from them.
    fn round(&mut self, now: Duration, newest: u64, is_partitioned: bool) -> RoundOutcome {
        let mut index_decreases = 0;
        for process in &mut self.processes {
            if is_partitioned && process.is_remote() {
                continue;
            }
            index_decreases += usize::from(!process.offer_version(newest));
            process.authority.record_service_read(newest, now);
        }
        let answers: Vec<(u64, Option<Duration>)> = self
            .processes
            .iter()
            .map(|it| {
                (
                    it.versions.index_in_force(),
                    it.authority.service_evidence_age(now),
                )
            })
            .collect();
        for polling in 0..self.processes.len() {
            for peer in self.polled_peers(polling, now) {
                let crosses_regions =
                    self.processes[polling].is_remote() != self.processes[peer].is_remote();
                if is_partitioned && crosses_regions {
                    continue;
                }
                index_decreases +=
                    usize::from(!self.receive_answer(polling, peer, answers[peer], now));
            }
        }
        let mut round = self.observe(now, newest);
        round.index_decreases = index_decreases;
        round
    }

    /// Returns the peers that a process polls now.
    fn polled_peers(&self, position: usize, now: Duration) -> Vec<usize> {
        let process = &self.processes[position];
        let chosen = process.witnesses.chosen.iter();
        let answered = chosen.map(|at| process.answered.get(at).copied());
        let needs_spares = self.has_spares && witnesses::needs_spares(answered, ROUND, now);
        let spare = process.witnesses.spare.iter().filter(|_| needs_spares);
        let witnesses = process.witnesses.chosen.iter().chain(spare);
        witnesses.chain(&process.agents).copied().collect()
    }

    /// Records a peer's answer at the polling process; returns false if its index in force went
    /// down.
    fn receive_answer(
        &mut self,
        polling: usize,
        peer: usize,
        (index, service_evidence_age): (u64, Option<Duration>),
        now: Duration,
    ) -> bool {
        let (id, domain) = {
            let peer = &self.processes[peer];
            (peer.id.clone(), peer.domain.to_owned())
        };
        let process = &mut self.processes[polling];
        process.answered.insert(peer, now);
        process.members.record_heartbeat(&Heartbeat {
            id: id.clone(),
            domain: domain.clone(),
            incarnation: 1,
            leaving: false,
            requested_at: now,
        });
        process.authority.record_peer_answer(&PeerAnswer {
            peer: id,
            domain,
            index,
            service_evidence_age,
            requested_at: now,
        });
        index <= process.versions.index_in_force() || process.offer_version(index)
    }

    /// Counts idle and behind processes.
    fn observe(&self, now: Duration, newest: u64) -> RoundOutcome {
        let mut round = RoundOutcome::default();
        for process in &self.processes {
            let is_idle = usize::from(!process.authority.state(now).may_take_work());
            let is_behind = usize::from(process.versions.index_in_force() < newest);
            let (idle, behind) = match process.is_remote() {
                true => (&mut round.idle_remote, &mut round.behind_remote),
                false => (&mut round.idle_home, &mut round.behind_home),
            };
            *idle += is_idle;
            *behind += is_behind;
        }
        round
    }

    /// Counts the states that entries of the home region have for agents of the remote region.
    fn remote_agent_states(&self, now: Duration) -> BTreeMap<MemberState, usize> {
        let mut states = BTreeMap::new();
        for entry in self.processes[..ENTRIES]
            .iter()
            .filter(|it| !it.is_remote())
        {
            for agent in &entry.agents {
                let agent = &self.processes[*agent];
                if agent.is_remote() {
                    *states
                        .entry(entry.members.state(&agent.id, now))
                        .or_default() += 1;
                }
            }
        }
        states
    }
}

fn model(agent: usize) -> String {
    format!("model-{}", agent % MODELS)
}

/// Runs all rounds. Returns the outcome of each, and the states of remote agents at the end of the
/// rounds before, during and after the partition.
fn run(has_spares: bool) -> (Vec<RoundOutcome>, Vec<BTreeMap<MemberState, usize>>) {
    let mut fleet = Fleet::new(has_spares);
    let (mut rounds, mut states) = (Vec::new(), Vec::new());
    let mut index = 1;
    for number in 0..ROUNDS_BEFORE + ROUNDS_PARTITIONED + ROUNDS_AFTER {
        let now = ROUND * (number as u32 + 1);
        index += u64::from(number % ROUNDS_PER_CHANGE == ROUNDS_PER_CHANGE - 1);
        let is_partitioned = (ROUNDS_BEFORE..ROUNDS_BEFORE + ROUNDS_PARTITIONED).contains(&number);
        rounds.push(fleet.round(now, index, is_partitioned));
        if [
            ROUNDS_BEFORE - 1,
            ROUNDS_BEFORE + ROUNDS_PARTITIONED - 1,
            ROUNDS_BEFORE + ROUNDS_PARTITIONED + ROUNDS_AFTER - 1,
        ]
        .contains(&number)
        {
            states.push(fleet.remote_agent_states(now));
        }
    }
    (rounds, states)
}

/// Returns the maximum over the rounds of a count of an outcome.
fn max_of(rounds: &[RoundOutcome], of: impl Fn(&RoundOutcome) -> usize) -> usize {
    rounds.iter().map(of).max().unwrap_or(0)
}

#[gtest]
fn both_partitions_serve_for_an_hour_and_converge_afterwards() {
    let (rounds, states) = run(true);
    let (before, rest) = rounds.split_at(ROUNDS_BEFORE as usize);
    let (partitioned, after) = rest.split_at(ROUNDS_PARTITIONED as usize);
    println!(
        "partition: idle at home {}, remote {}; behind at home {}, remote {}; after: behind {}",
        max_of(partitioned, |it| it.idle_home),
        max_of(partitioned, |it| it.idle_remote),
        max_of(partitioned, |it| it.behind_home),
        max_of(partitioned, |it| it.behind_remote),
        max_of(after, |it| it.behind_home + it.behind_remote)
    );

    // No process stops taking work, and no index goes down.
    expect_that!(max_of(&rounds, |it| it.idle_home + it.idle_remote), eq(0));
    expect_that!(max_of(&rounds, |it| it.index_decreases), eq(0));
    // The home region applies all changes; the remote region keeps its last accepted version, and
    // catches up afterwards.
    expect_that!(
        max_of(before, |it| it.behind_home + it.behind_remote),
        eq(0)
    );
    expect_that!(max_of(partitioned, |it| it.behind_home), eq(0));
    expect_that!(partitioned.last().map(|it| it.behind_remote), some(gt(0)));
    let rounds_to_converge = CHANGE_BOUND.div_duration_f64(ROUND) as usize;
    expect_that!(
        max_of(&after[rounds_to_converge..], |it| it.behind_remote),
        eq(0)
    );
    // No work crosses the partition while it lasts; afterwards it does again.
    let [live, gone, again] = &states[..] else {
        panic!("three states");
    };
    expect_that!(
        live.keys().collect::<Vec<_>>(),
        elements_are![&&MemberState::Live]
    );
    expect_that!(
        gone.keys().collect::<Vec<_>>(),
        elements_are![&&MemberState::Gone]
    );
    expect_that!(again, eq(live));
}

#[gtest]
fn without_spare_witnesses_part_of_the_remote_region_stops() {
    let (rounds, _) = run(false);

    let idle = max_of(&rounds, |it| it.idle_remote);
    println!("idle in the remote region without spares: {idle}");
    expect_that!(idle, gt(0));
}

#[gtest]
fn process_starting_in_the_remote_region_serves_the_version_in_force_there() {
    let start = Duration::from_secs(100);
    let mut check = StartupCheck::new(DOMAINS.map(str::to_owned), start + Duration::from_secs(3));
    for domain in REMOTE_DOMAINS {
        check.record_answer(domain, 7);
    }
    for domain in ["a", "b"] {
        check.record_unreachable(domain);
    }

    let at_once = check.readiness(7, start);
    let behind = check.readiness(6, start + Duration::from_secs(3));
    let after_deadline = check.readiness(7, start + Duration::from_secs(3));

    expect_that!(at_once, eq(Readiness::Waiting));
    expect_that!(behind, eq(Readiness::Behind(7)));
    expect_that!(after_deadline, eq(Readiness::Ready));
}

#[gtest]
fn isolated_domain_stops_in_time_despite_spare_witnesses() {
    let mut fleet = Fleet::new(true);
    let isolated = |fleet: &Fleet| {
        let of = fleet.processes.iter().position(|it| it.domain == "e");
        of.expect("a process in the domain")
    };
    let last_connected = ROUND * 10;
    for number in 0..10 {
        fleet.round(ROUND * (number + 1), 1, false);
    }

    // Isolated: the process gets answers from its own failure domain only.
    let position = isolated(&fleet);
    let own: Vec<usize> = (0..ENTRIES)
        .filter(|&n| fleet.processes[n].domain == "e")
        .collect();
    for number in 10..14 {
        let now = ROUND * (number + 1);
        let polled = fleet.polled_peers(position, now);
        for peer in polled.into_iter().filter(|peer| own.contains(peer)) {
            fleet.receive_answer(position, peer, (1, Some(now - last_connected)), now);
        }
    }

    let state_at = |at| fleet.processes[position].authority.state(at);
    expect_that!(
        state_at(last_connected + Duration::from_secs(3)),
        eq(AuthorityState::Confirmed)
    );
    expect_that!(
        state_at(last_connected + Duration::from_secs(5)),
        eq(AuthorityState::CutAlone)
    );
}
