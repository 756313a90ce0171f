//! The size to come with one region parted from the other for an hour, in virtual time: loops over
//! the pure decisions of every process, one round of heartbeats after the other.

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
/// The part without the configuration service.
const REMOTE: [&str; 2] = ["d", "e"];
/// Time between two heartbeats.
const ROUND: Duration = Duration::from_secs(2);
/// Rounds before the cut.
const BEFORE: u64 = 30;
/// Rounds of the cut: one hour.
const CUT: u64 = 1800;
/// Rounds after it has healed.
const AFTER: u64 = 30;
/// Rounds between two changes: 910 a day.
const CHANGE: u64 = 47;
/// Longest time until a change is in force everywhere.
const BOUND: Duration = Duration::from_secs(7);

struct Process {
    id: String,
    domain: &'static str,
    authority: Authority,
    order: ConfigVersions,
    members: Membership,
    witnesses: Witnesses,
    /// Agents that an entry asks, by position among all processes.
    agents: Vec<usize>,
    /// Date of the last question that each witness answered.
    answered: BTreeMap<usize, Duration>,
}

impl Process {
    fn is_remote(&self) -> bool {
        REMOTE.contains(&self.domain)
    }

    /// Takes in a version; true unless it goes back.
    fn take(&mut self, index: u64) -> bool {
        let before = self.order.index_in_force();
        let version = ConfigVersion {
            index,
            digest: format!("{index}"),
        };
        if self.order.offer(&version, || Ok(())) == VersionDecision::Accepted {
            let domains = DOMAINS.iter().map(|name| (*name).to_owned());
            self.authority.set_in_force(index, domains);
        }
        self.order.index_in_force() >= before
    }
}

/// What a round showed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Round {
    /// Processes of each part that take no new work.
    idle_home: usize,
    idle_remote: usize,
    /// Processes of each part that are behind the newest index.
    behind_home: usize,
    behind_remote: usize,
    /// Processes whose index went back.
    went_back: usize,
}

struct Fleet {
    processes: Vec<Process>,
    has_spares: bool,
}

impl Fleet {
    /// `has_spares` is off in the naive way: the same witnesses are asked, come what may.
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
            // Back to positions among all processes.
            let moved = |at: &mut usize| *at += usize::from(position <= *at && position < ENTRIES);
            found
                .chosen
                .iter_mut()
                .chain(&mut found.spare)
                .for_each(moved);
            Process {
                id: node.id.to_owned(),
                domain: names[position].1,
                authority: Authority::new(AuthorityConfig::default(), node.domain.to_owned()),
                order: ConfigVersions::default(),
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

    /// One round: those who reach the service read it, all ask their peers, and who hears of a
    /// newer index takes it from the peer.
    fn round(&mut self, now: Duration, newest: u64, is_cut: bool) -> Round {
        let mut went_back = 0;
        for process in &mut self.processes {
            if is_cut && process.is_remote() {
                continue;
            }
            went_back += usize::from(!process.take(newest));
            process.authority.observe_service(newest, now);
        }
        let told: Vec<(u64, Option<Duration>)> = self
            .processes
            .iter()
            .map(|it| {
                (
                    it.order.index_in_force(),
                    it.authority.service_evidence_age(now),
                )
            })
            .collect();
        for asking in 0..self.processes.len() {
            for peer in self.asked(asking, now) {
                let is_lost =
                    self.processes[asking].is_remote() != self.processes[peer].is_remote();
                if is_cut && is_lost {
                    continue;
                }
                went_back += usize::from(!self.answer(asking, peer, told[peer], now));
            }
        }
        let mut round = self.look(now, newest);
        round.went_back = went_back;
        round
    }

    fn asked(&self, position: usize, now: Duration) -> Vec<usize> {
        let process = &self.processes[position];
        let chosen = process.witnesses.chosen.iter();
        let answered = chosen.map(|at| process.answered.get(at).copied());
        let needs_spares = self.has_spares && witnesses::needs_spares(answered, ROUND, now);
        let spare = process.witnesses.spare.iter().filter(|_| needs_spares);
        let witnesses = process.witnesses.chosen.iter().chain(spare);
        witnesses.chain(&process.agents).copied().collect()
    }

    fn answer(
        &mut self,
        asking: usize,
        peer: usize,
        (index, service_evidence_age): (u64, Option<Duration>),
        now: Duration,
    ) -> bool {
        let (id, domain) = {
            let peer = &self.processes[peer];
            (peer.id.clone(), peer.domain.to_owned())
        };
        let process = &mut self.processes[asking];
        process.answered.insert(peer, now);
        process.members.observe_heartbeat(&Heartbeat {
            id: id.clone(),
            domain: domain.clone(),
            incarnation: 1,
            leaving: false,
            requested_at: now,
        });
        process.authority.observe_peer(&PeerAnswer {
            peer: id,
            domain,
            index,
            service_evidence_age,
            requested_at: now,
        });
        index <= process.order.index_in_force() || process.take(index)
    }

    fn look(&self, now: Duration, newest: u64) -> Round {
        let mut round = Round::default();
        for process in &self.processes {
            let is_idle = usize::from(!process.authority.state(now).may_take_work());
            let is_behind = usize::from(process.order.index_in_force() < newest);
            let (idle, behind) = match process.is_remote() {
                true => (&mut round.idle_remote, &mut round.behind_remote),
                false => (&mut round.idle_home, &mut round.behind_home),
            };
            *idle += is_idle;
            *behind += is_behind;
        }
        round
    }

    /// States that entries of the home part believe of agents of the remote part.
    fn remote_states(&self, now: Duration) -> BTreeMap<MemberState, usize> {
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

/// Runs the hour and returns each round's outcome, with the fleet at three moments.
fn run(has_spares: bool) -> (Vec<Round>, Vec<BTreeMap<MemberState, usize>>) {
    let mut fleet = Fleet::new(has_spares);
    let (mut rounds, mut states) = (Vec::new(), Vec::new());
    let mut index = 1;
    for number in 0..BEFORE + CUT + AFTER {
        let now = ROUND * (number as u32 + 1);
        index += u64::from(number % CHANGE == CHANGE - 1);
        let is_cut = (BEFORE..BEFORE + CUT).contains(&number);
        rounds.push(fleet.round(now, index, is_cut));
        if [BEFORE - 1, BEFORE + CUT - 1, BEFORE + CUT + AFTER - 1].contains(&number) {
            states.push(fleet.remote_states(now));
        }
    }
    (rounds, states)
}

fn worst(rounds: &[Round], of: impl Fn(&Round) -> usize) -> usize {
    rounds.iter().map(of).max().unwrap_or(0)
}

#[gtest]
fn both_partitions_serve_for_an_hour_and_converge_afterwards() {
    let (rounds, states) = run(true);
    let (before, rest) = rounds.split_at(BEFORE as usize);
    let (cut, after) = rest.split_at(CUT as usize);
    println!(
        "cut: idle at home {}, remote {}; behind at home {}, remote {}; after: behind {}",
        worst(cut, |it| it.idle_home),
        worst(cut, |it| it.idle_remote),
        worst(cut, |it| it.behind_home),
        worst(cut, |it| it.behind_remote),
        worst(after, |it| it.behind_home + it.behind_remote)
    );

    // Nobody stops, and nothing goes back.
    expect_that!(worst(&rounds, |it| it.idle_home + it.idle_remote), eq(0));
    expect_that!(worst(&rounds, |it| it.went_back), eq(0));
    // Changes go on at home; the remote part keeps the last one it accepted, and catches up.
    expect_that!(worst(before, |it| it.behind_home + it.behind_remote), eq(0));
    expect_that!(worst(cut, |it| it.behind_home), eq(0));
    expect_that!(cut.last().map(|it| it.behind_remote), some(gt(0)));
    let healed = BOUND.div_duration_f64(ROUND) as usize;
    expect_that!(worst(&after[healed..], |it| it.behind_remote), eq(0));
    // No work goes across the cut, and it goes there again afterwards.
    let [live, gone, again] = &states[..] else {
        panic!("three moments");
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

    let idle = worst(&rounds, |it| it.idle_remote);
    println!("idle in the remote part without spares: {idle}");
    expect_that!(idle, gt(0));
}

#[gtest]
fn process_starting_in_the_remote_region_serves_the_version_in_force_there() {
    let start = Duration::from_secs(100);
    let mut check = StartupCheck::new(DOMAINS.map(str::to_owned), start + Duration::from_secs(3));
    for domain in REMOTE {
        check.observe_answer(domain, 7);
    }
    for domain in ["a", "b"] {
        check.observe_unreachable(domain);
    }

    let at_once = check.readiness(7, start);
    let old = check.readiness(6, start + Duration::from_secs(3));
    let given_up = check.readiness(7, start + Duration::from_secs(3));

    expect_that!(at_once, eq(Readiness::Waiting));
    expect_that!(old, eq(Readiness::Behind(7)));
    expect_that!(given_up, eq(Readiness::Ready));
}

#[gtest]
fn isolated_domain_stops_in_time_despite_spare_witnesses() {
    let mut fleet = Fleet::new(true);
    let alone = |fleet: &Fleet| {
        let of = fleet.processes.iter().position(|it| it.domain == "e");
        of.expect("a process in the domain")
    };
    let last = ROUND * 10;
    for number in 0..10 {
        fleet.round(ROUND * (number + 1), 1, false);
    }

    // Cut off: it hears nobody but its own failure domain.
    let position = alone(&fleet);
    let own: Vec<usize> = (0..ENTRIES)
        .filter(|&n| fleet.processes[n].domain == "e")
        .collect();
    for number in 10..14 {
        let now = ROUND * (number + 1);
        let asked = fleet.asked(position, now);
        for peer in asked.into_iter().filter(|peer| own.contains(peer)) {
            fleet.answer(position, peer, (1, Some(now - last)), now);
        }
    }

    let standing = |at| fleet.processes[position].authority.state(at);
    expect_that!(
        standing(last + Duration::from_secs(3)),
        eq(AuthorityState::Confirmed)
    );
    expect_that!(
        standing(last + Duration::from_secs(5)),
        eq(AuthorityState::CutAlone)
    );
}
