//! The leader of a group: compares the expert map with the demand for experts and starts a switch
//! to a better map when the gain is worth the copies.

use std::{rc::Rc, time::Duration};

use jj_news::Message;
use jj_policy::{
    expert_plan::{self, PassTimes, Plan, PlanShape},
    map_switch::{self, MapVersion, RankView, SetMap},
};
use jj_utils::{clock::Timestamp, events, log_event};

use crate::{
    datagrams, driver,
    state::{State, default_map},
    switch,
};

/// Interval between evaluations of the map.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two switches, since copying experts slows the group down.
const MIN_SWITCH_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between requests to all ranks for their experts.
const EXPERTS_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum number of other live agents for a switch: the deputy and the gate.
const MIN_OTHER_AGENTS: usize = 2;

/// Excess over the target imbalance from which a switch is worth its copies.
const MIN_GAIN: f64 = 0.25;

/// Fraction of the target event gap that a pass may take; the rest is left for the next shift of
/// demand, for copies and for long prompts.
const PASS_FRACTION: f64 = 0.45;

/// Evaluates the map for as long as the process runs, whenever this agent is the leader.
pub async fn run(state: Rc<State>) {
    let mut leader = Leader {
        state,
        map: None,
        switched_at: Timestamp::ZERO,
        requested_at: Timestamp::ZERO,
        was_leading: false,
    };
    loop {
        tokio::time::sleep(EVALUATION_INTERVAL).await;
        leader.evaluate().await;
    }
}

/// State of an agent as leader of its group.
struct Leader {
    state: Rc<State>,
    /// Epoch, version and content of the map in force.
    map: Option<(u64, MapVersion, Vec<SetMap>)>,
    /// End of the last switch that this agent led.
    switched_at: Timestamp,
    /// Time at which all ranks were last asked for their experts.
    requested_at: Timestamp,
    /// Whether this agent was the leader at the last evaluation.
    was_leading: bool,
}

impl Leader {
    /// Logs a change of leadership and, if this agent leads and no switch is in progress, considers
    /// a switch.
    async fn evaluate(&mut self) {
        let leads = self.state.is_leader();
        if leads != self.was_leading {
            self.was_leading = leads;
            let rank = self.state.rank().unwrap_or_default();
            log_event!(
                events::GROUP_LEADER,
                rank = rank, leads = leads; "leader role of this agent changed"
            );
        }
        if !leads {
            self.map = None;
            return;
        }
        if driver::read_report(&self.state).await.is_err() {
            return;
        }
        let Some(views) = self.views() else {
            return;
        };
        let is_leaving = self.state.group.borrow().is_leaving;
        if map_switch::no_switch_in_progress(&views) && !is_leaving {
            self.switch_if_worthwhile(&views).await;
        }
    }

    /// Returns the last reported state of each rank's engine, none for ranks without a report. None
    /// at all before this agent's engine has reported the size of the group.
    fn views(&self) -> Option<Vec<Option<RankView>>> {
        let group = self.state.group.borrow();
        let size = group.report.as_ref()?.group_size;
        Some((0..size).map(|rank| group.view(rank)).collect())
    }

    /// Runs a switch if all ranks use the same map and a better one is worth the copies.
    async fn switch_if_worthwhile(&mut self, views: &[Option<RankView>]) {
        let now = self.state.clock.now();
        let has_agents = self.state.live_ranks().len() >= MIN_OTHER_AGENTS;
        if now < self.switched_at + MIN_SWITCH_INTERVAL || !has_agents {
            return;
        }
        let Some(first) = views.first().copied().flatten() else {
            return;
        };
        let has_same_map = |it: &Option<RankView>| {
            it.is_some_and(|it| it.epoch == first.epoch && it.map == first.map)
        };
        if !views.iter().all(has_same_map) || !self.update_map(first.epoch, first.map).await {
            return;
        }
        let Some((plan, target)) = self.plan(views.len()) else {
            return;
        };
        self.log_load(plan.imbalance_before);
        if plan.imbalance_before - plan.imbalance_after < MIN_GAIN / 2.0 {
            return;
        }
        log_event!(
            events::REBALANCE_PLANNED,
            before = plan.imbalance_before, after = plan.imbalance_after, loads = plan.loads,
            most = plan.max_rank_loads, version = first.map, target = target;
            "switching to a better expert map"
        );
        let Some((_, version, map)) = &self.map else {
            return;
        };
        let from = (*version, map.as_slice());
        let switched = switch::lead(&self.state, views, from, plan.map).await;
        if let Some((version, _)) = &switched {
            self.state.record_switched(*version);
        }
        self.map = switched.map(|(version, map)| (first.epoch, version, map));
        self.switched_at = self.state.clock.now();
    }

    /// Logs the imbalance, pass duration and requests of the group, to help diagnose a slow one.
    fn log_load(&self, imbalance: f64) {
        let group = self.state.group.borrow();
        let members = group.members.iter();
        let others = members.map(|(_, it)| it.status.heartbeat.running);
        let own = group.report.as_ref().map_or(0, |it| it.running);
        let running: Vec<u32> = others.chain([own]).collect();
        let pass = group.pass_length.mean().unwrap_or_default();
        log_event!(
            events::GROUP_LOAD,
            imbalance = imbalance, distance = group.demand.distance, pass_ms = pass.as_secs_f64() * 1e3,
            running = running.iter().sum::<u32>(),
            busiest = running.iter().max().copied().unwrap_or_default();
            "load of the group"
        );
    }

    /// Plans a better map if the one in force is too unbalanced; returns the plan and its target
    /// imbalance.
    fn plan(&self, ranks: usize) -> Option<(Plan, f64)> {
        let now = self.state.clock.now();
        let mut group = self.state.group.borrow_mut();
        let spec = group.roster.as_ref()?.experts;
        let shares = group.demand.shares(now, spec.sets as usize)?;
        let roster = group.roster.as_ref()?;
        let (_, _, map) = self.map.as_ref()?;
        let mut shape = PlanShape {
            ranks,
            experts: spec.experts as usize,
            slots: spec.slots as usize,
            loads_per_set: spec.spare as usize,
            loads_per_rank: 0,
            slowdowns: group.slowdowns(ranks),
        };
        if !expert_plan::dimensions_match(&shape, map, &shares) {
            return None;
        }
        let imbalance = expert_plan::imbalance(&shape, map, &shares);
        shape.loads_per_rank =
            expert_plan::max_loads_per_rank(ranks, spec.expert_load_time(), imbalance);
        let times = PassTimes {
            idle: roster.idle_pass,
            current: group.pass_length.mean().unwrap_or(roster.idle_pass),
            target: roster.gap_target.mul_f64(PASS_FRACTION),
        };
        let target = expert_plan::target_imbalance(times, imbalance);
        metrics::gauge!("jujube_expert_imbalance").set(imbalance);
        if imbalance < target + MIN_GAIN {
            return None;
        }
        Some((expert_plan::plan(&shape, map, &shares, target), target))
    }

    /// Obtains the content of the map in force. If it is not known, asks all ranks for their experts
    /// and returns false.
    async fn update_map(&mut self, epoch: u64, version: MapVersion) -> bool {
        if self
            .map
            .as_ref()
            .is_some_and(|it| it.0 == epoch && it.1 == version)
        {
            return true;
        }
        let size = self
            .state
            .group
            .borrow()
            .report
            .as_ref()
            .map_or(0, |it| it.group_size);
        if let Some(map) = self.known_map(size, epoch, version) {
            self.map = Some((epoch, version, map));
            return true;
        }
        let now = self.state.clock.now();
        if now < self.requested_at + EXPERTS_REQUEST_INTERVAL {
            return false;
        }
        self.requested_at = now;
        driver::record_experts(&self.state).await;
        let group = self.state.own_group();
        for addr in datagrams::peers(&self.state) {
            self.state.send(addr, &Message::AskExperts { group });
        }
        false
    }

    /// Returns the content of a map, if it is known: version 0 follows from the size of the group,
    /// others were received with a task or can be assembled from the experts of all ranks.
    fn known_map(&self, size: u32, epoch: u64, version: MapVersion) -> Option<Vec<SetMap>> {
        {
            let group = self.state.group.borrow();
            if version == 0 {
                return default_map(group.roster.as_ref()?, size);
            }
            if let Some(map) = group.map(epoch, version) {
                return Some(map.clone());
            }
        }
        self.state.reported_map(size, version)
    }
}
