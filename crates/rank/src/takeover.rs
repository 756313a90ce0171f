//! Takeover of a switch that its leader has left unfinished while the group is stalled.
//!
//! The group waits at a held pass until the pass is released, so a leader that is killed or stopped
//! during a switch stalls every stream. All agents have received its tasks and see that the group
//! makes no progress. The live watcher with the lowest rank finishes the switch, and the next one if
//! that fails. Agents that have started since know nothing of the switch; they see the held pass,
//! and roll the switch back unless it is committed.

use std::{rc::Rc, time::Duration};

use jj_policy::{
    map_switch::MapVersion,
    switch_run::{Ending, SwitchRoles, has_stale_mark},
};
use jj_utils::{clock::Timestamp, ids::Rank};

use crate::{
    state::{ReceivedTask, State},
    switch,
};

/// Interval between checks for an abandoned switch.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Duration of a stall after which a switch of a leader that is silent or has restarted is taken over;
/// longer than any pass.
const STALL_TIMEOUT: Duration = Duration::from_millis(240);

/// Additional wait for each live watcher with a lower rank, which goes first.
const WAIT_PER_LOWER_RANK: Duration = Duration::from_millis(80);

/// Duration of a stall after which a switch is taken over from a leader that is alive or not known.
const LIVE_LEADER_STALL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time after a leader's last task within which a stall is attributed to that leader's switch.
const TASK_WINDOW: Duration = Duration::from_secs(8);

/// Time without a hold after which the mark of a rolled back switch is removed from its gate, which
/// the agent that rolled it back usually does at once.
const STALE_MARK_TIMEOUT: Duration = Duration::from_millis(600);

/// A switch that was left unfinished, as far as an agent knows it.
#[derive(Debug, Clone, Copy)]
struct AbandonedSwitch {
    roles: SwitchRoles,
    /// Version of its map; 0 if it is not known.
    version: MapVersion,
}

impl AbandonedSwitch {
    /// Returns a switch of which only the gate is known.
    fn unknown(gate: Rank) -> Self {
        Self {
            roles: SwitchRoles::unknown(gate),
            version: 0,
        }
    }
}

/// Checks for abandoned switches and takes them over, for as long as the process runs.
pub async fn run(state: Rc<State>) {
    let mut marked_since = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = state.clock.now();
        let stale_mark = stale_mark(&state, now, &mut marked_since);
        let Some(switch) = abandoned_switch(&state, now).or(stale_mark) else {
            continue;
        };
        let ending = switch::take_over(&state, switch.roles, switch.version).await;
        if ending == Some(Ending::Nothing) {
            forget_switch(&state);
        }
        // Restarts the stall timeout, since the group needs a moment to resume.
        state.group.borrow_mut().last_progress = state.clock.now();
    }
}

/// Forgets the switch of the last task, whose gate holds no pass: if another rank holds one, that is
/// for another switch.
fn forget_switch(state: &State) {
    let mut group = state.group.borrow_mut();
    if let Some(task) = &mut group.last_task {
        task.roles = SwitchRoles::unknown(task.roles.gate);
        task.version = 0;
    }
}

/// Returns the switch that this agent has to take over now, if there is one.
fn abandoned_switch(state: &State, now: Timestamp) -> Option<AbandonedSwitch> {
    if state.group.borrow().is_switching {
        return None;
    }
    let task = state.group.borrow().last_task;
    match task.filter(|it| now < it.at + TASK_WINDOW) {
        Some(task) if task.roles.has_known_leader() => abandoned_by_leader(state, now, &task),
        task => abandoned_by_unknown(state, now, task.map_or(Timestamp::ZERO, |it| it.at)),
    }
}

/// Returns the switch to whose gate this agent, if it leads, has to send the order that removes the
/// mark of its rollback. `since` is when the gate was first seen with it.
fn stale_mark(
    state: &State,
    now: Timestamp,
    since: &mut Option<Timestamp>,
) -> Option<AbandonedSwitch> {
    let marked = match state.is_leader() && !state.group.borrow().is_switching {
        true => state.find_rank(has_stale_mark),
        false => None,
    };
    let Some(gate) = marked else {
        *since = None;
        return None;
    };
    let since = *since.get_or_insert(now);
    (now >= since + STALE_MARK_TIMEOUT).then_some(AbandonedSwitch::unknown(gate))
}

/// Returns a switch with a known leader, if it is this agent's turn to take it over.
fn abandoned_by_leader(
    state: &State,
    now: Timestamp,
    task: &ReceivedTask,
) -> Option<AbandonedSwitch> {
    let leader = task.roles.leader;
    let own = state.rank().filter(|own| *own != leader)?;
    if !state.is_watcher() {
        return None;
    }
    let watchers = state.live_watchers();
    let lower = watchers.iter().filter(|it| **it < own && **it != leader);
    // An agent that takes the switch over sends tasks as well.
    let last_attempt = task.at.max(state.last_switching_heartbeat(Some(leader)));
    let last_activity = state.group.borrow().last_progress.max(last_attempt);
    let timeout = match state.has_leader_gone(task, now) {
        true => STALL_TIMEOUT,
        false => LIVE_LEADER_STALL_TIMEOUT,
    };
    let switch = AbandonedSwitch {
        roles: task.roles,
        version: task.version,
    };
    (now >= last_activity + timeout + additional_wait(lower.count())).then_some(switch)
}

/// Returns a switch of which this agent only knows that a rank holds a pass, if it is this agent's
/// turn to take it over. `last_attempt` is when a task was last received, which may be
/// from another agent that rolls the switch back.
fn abandoned_by_unknown(
    state: &State,
    now: Timestamp,
    last_attempt: Timestamp,
) -> Option<AbandonedSwitch> {
    let own = state.rank().filter(|_| state.is_watcher())?;
    let watchers = state.live_watchers();
    let lower = watchers.iter().filter(|it| **it < own);
    let last_attempt = last_attempt.max(state.last_switching_heartbeat(None));
    let last_activity = state.group.borrow().last_progress.max(last_attempt);
    if now < last_activity + LIVE_LEADER_STALL_TIMEOUT + additional_wait(lower.count()) {
        return None;
    }
    let gate = state.find_rank(|it| it.held.is_some())?;
    Some(AbandonedSwitch::unknown(gate))
}

/// Returns the time for which an agent waits for live watchers of lower ranks to act first.
fn additional_wait(lower_ranks: usize) -> Duration {
    WAIT_PER_LOWER_RANK * u32::try_from(lower_ranks).unwrap_or(u32::MAX)
}
