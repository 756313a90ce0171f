//! The agent that leads its group: watches the demand for experts and starts switches that pay.

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

/// Time between two looks at the demand.
const LOOK: Duration = Duration::from_millis(50);

/// Shortest time between two switches: their copies slow the group down.
const SWITCH_PAUSE: Duration = Duration::from_millis(100);

/// Time between two questions to all ranks for their experts.
const ASK_PAUSE: Duration = Duration::from_millis(150);

/// Other agents that a switch needs: a deputy and one whose engine holds.
const HELPERS: usize = 2;

/// Imbalance over the one aimed at from which a switch pays for its copies.
const LEAST_GAIN: f64 = 0.25;

/// Part of the pause between events that is aimed at which a pass may take: the next shift of
/// demand, copies and long prompts need the rest.
const PASS_PART: f64 = 0.45;

/// Leads for as long as the process runs, whenever it is this agent's turn.
pub async fn run(state: Rc<State>) {
    let mut leader = Leader {
        state,
        map: None,
        switched: Timestamp::ZERO,
        asked: Timestamp::ZERO,
        was_leading: false,
    };
    loop {
        tokio::time::sleep(LOOK).await;
        leader.look().await;
    }
}

struct Leader {
    state: Rc<State>,
    /// Content of the map in force, with its formation and version.
    map: Option<(u64, MapVersion, Vec<SetMap>)>,
    switched: Timestamp,
    /// When all ranks were asked for their experts.
    asked: Timestamp,
    was_leading: bool,
}

impl Leader {
    async fn look(&mut self) {
        let leads = self.state.is_leader();
        if leads != self.was_leading {
            self.was_leading = leads;
            let rank = self.state.rank().unwrap_or_default();
            log_event!(events::GROUP_LEADER, rank = rank, leads = leads; "leader of the group");
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
        if map_switch::is_quiet(&views) && !is_leaving {
            self.consider(&views).await;
        }
    }

    /// What the engines of all ranks said last; none while a rank was never heard.
    fn views(&self) -> Option<Vec<Option<RankView>>> {
        let group = self.state.group.borrow();
        let size = group.report.as_ref()?.size;
        Some((0..size).map(|rank| group.view(rank)).collect())
    }

    /// Starts a switch if one pays.
    async fn consider(&mut self, views: &[Option<RankView>]) {
        let now = self.state.clock.now();
        let can_switch = self.state.live_ranks().len() >= HELPERS;
        if now < self.switched + SWITCH_PAUSE || !can_switch {
            return;
        }
        let Some(first) = views.first().copied().flatten() else {
            return;
        };
        let is_one = |it: &Option<RankView>| {
            it.is_some_and(|it| it.epoch == first.epoch && it.map == first.map)
        };
        if !views.iter().all(is_one) || !self.learn_map(first.epoch, first.map).await {
            return;
        }
        let Some((plan, target)) = self.plan(views.len()) else {
            return;
        };
        self.log_load(plan.before);
        if plan.before - plan.after < LEAST_GAIN / 2.0 {
            return;
        }
        log_event!(
            events::REBALANCE_PLANNED,
            before = plan.before, after = plan.after, loads = plan.loads,
            most = plan.most_loads, version = first.map, target = target;
            "a better expert map is in reach"
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
        self.switched = self.state.clock.now();
    }

    /// Says how the group works, for those who look at one that is slow.
    fn log_load(&self, imbalance: f64) {
        let group = self.state.group.borrow();
        let others = group.members.values().map(|it| it.status.running);
        let own = group.report.as_ref().map_or(0, |it| it.running);
        let running: Vec<u32> = others.chain([own]).collect();
        let pass = group.pass_length.length().unwrap_or_default();
        log_event!(
            events::GROUP_LOAD,
            imbalance = imbalance, distance = group.demand.distance, pass_ms = pass.as_secs_f64() * 1e3,
            running = running.iter().sum::<u32>(),
            busiest = running.iter().max().copied().unwrap_or_default();
            "load of the group"
        );
    }

    /// A better map where the one in force is too uneven, and the imbalance that it aims at.
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
            spare: spec.spare as usize,
            loads: 0,
            paces: group.slowdowns(ranks),
        };
        if !expert_plan::fits(&shape, map, &shares) {
            return None;
        }
        let imbalance = expert_plan::imbalance(&shape, map, &shares);
        shape.loads = expert_plan::loads_a_rank(ranks, spec.load_time(), imbalance);
        let times = PassTimes {
            idle: roster.idle_pass,
            now: group.pass_length.length().unwrap_or(roster.idle_pass),
            goal: roster.gap_target.mul_f64(PASS_PART),
        };
        let target = expert_plan::target(times, imbalance);
        metrics::gauge!("jujube_expert_imbalance").set(imbalance);
        if imbalance < target + LEAST_GAIN {
            return None;
        }
        Some((expert_plan::plan(&shape, map, &shares, target), target))
    }

    /// Learns the experts of all ranks under the map in force; false until all have told them.
    async fn learn_map(&mut self, epoch: u64, version: MapVersion) -> bool {
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
            .map_or(0, |it| it.size);
        if let Some(map) = self.known_map(size, epoch, version) {
            self.map = Some((epoch, version, map));
            return true;
        }
        let now = self.state.clock.now();
        if now < self.asked + ASK_PAUSE {
            return false;
        }
        self.asked = now;
        driver::record_experts(&self.state).await;
        for addr in datagrams::peers(&self.state) {
            self.state.send(addr, &Message::AskExperts);
        }
        false
    }

    /// The content of a map: that of the first one follows from the size of the group, others were part
    /// of a task, or are told by all ranks.
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
