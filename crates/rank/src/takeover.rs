//! Finishes a switch that a leader has left unfinished while the group stands still for it.
//!
//! The group waits at a held pass until it is released, so a leader that is killed or stopped in the
//! middle of a switch stops every stream. All agents have seen its tasks and see the group stand
//! still; the first of them that is left finishes the switch, the next one if that fails. Agents that
//! have started since know nothing of the switch; they see the held pass and take the switch back.

use std::{rc::Rc, time::Duration};

use jj_policy::switch_run::SwitchRoles;
use jj_utils::clock::Timestamp;

use crate::{
    state::{ReceivedTask, State},
    switch,
};

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(40);

/// Time for which a group stands still before a switch is taken over: more than any pass takes.
const STILL_FOR: Duration = Duration::from_millis(240);

/// Time that each further agent waits longer.
const STEP: Duration = Duration::from_millis(80);

/// Time for which a group stands still before a switch is taken over from a leader that lives.
const LONGEST_STILL: Duration = Duration::from_millis(1_300);

/// Time after a leader's last task in which a group may stand still for it.
const WATCH: Duration = Duration::from_secs(8);

/// Watches for as long as the process runs.
pub async fn run(state: Rc<State>) {
    loop {
        tokio::time::sleep(LOOK).await;
        let now = state.clock.now();
        if let Some(roles) = left_by(&state, now) {
            switch::take_over(&state, roles).await;
            // The group needs a moment to go on.
            state.group.borrow_mut().last_progress = state.clock.now();
        }
    }
}

/// The switch that this agent has to finish, by who does what in it.
fn left_by(state: &State, now: Timestamp) -> Option<SwitchRoles> {
    if state.group.borrow().is_switching {
        return None;
    }
    let task = state.group.borrow().last_task;
    match task.filter(|it| now < it.at + WATCH) {
        Some(task) if task.roles.is_known() => left_by_leader(state, now, &task),
        seen => left_by_unknown(state, now, seen.map_or(Timestamp::ZERO, |it| it.at)),
    }
}

fn left_by_leader(state: &State, now: Timestamp, task: &ReceivedTask) -> Option<SwitchRoles> {
    let leader = task.roles.leader;
    let own = state.rank().filter(|own| *own != leader)?;
    if !state.is_watcher() {
        return None;
    }
    let watching = state.live_watchers();
    let before = watching.iter().filter(|it| **it < own && **it != leader);
    // One that finishes the switch gives tasks as well.
    let tried = task.at.max(state.last_switching_heartbeat(Some(leader)));
    let last = state.group.borrow().last_progress.max(tried);
    let patience = match state.is_silent(leader, now) {
        true => STILL_FOR,
        false => LONGEST_STILL,
    };
    (now >= last + patience + turn(before.count())).then_some(task.roles)
}

/// A switch of which this agent knows nothing but that a rank holds a pass; `tried` is when another
/// agent was last seen to take it back.
fn left_by_unknown(state: &State, now: Timestamp, tried: Timestamp) -> Option<SwitchRoles> {
    let own = state.rank().filter(|_| state.is_watcher())?;
    let watching = state.live_watchers();
    let before = watching.iter().filter(|it| **it < own);
    let tried = tried.max(state.last_switching_heartbeat(None));
    let last = state.group.borrow().last_progress.max(tried);
    if now < last + LONGEST_STILL + turn(before.count()) {
        return None;
    }
    let mut ranks = state.live_ranks();
    ranks.push(own);
    ranks.sort_unstable();
    let gate = ranks.into_iter().find(|rank| state.is_holding(*rank))?;
    Some(SwitchRoles::unknown(gate))
}

/// Time that an agent waits longer for those before it.
fn turn(before: usize) -> Duration {
    STEP * u32::try_from(before).unwrap_or(u32::MAX)
}
