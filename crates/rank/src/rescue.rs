//! Finishes a switch that a leader has left unfinished while the group stands still for it.
//!
//! The group waits at a held pass until it is released, so a leader that is killed or stopped in the
//! middle of a switch stops every stream. All agents have seen its tasks and see the group stand
//! still; the first of them that is left finishes the switch, the next one if that fails.

use std::{rc::Rc, time::Duration};

use jj_policy::switch_run::SwitchRoles;
use jj_utils::clock::Timestamp;

use crate::{state::State, switch};

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
            switch::rescue(&state, roles).await;
            // The group needs a moment to go on.
            state.known.borrow_mut().advanced = state.clock.now();
        }
    }
}

/// The switch that this agent has to finish, by who does what in it.
fn left_by(state: &State, now: Timestamp) -> Option<SwitchRoles> {
    let alive = state.alive();
    let is_gone = |leader| state.is_silent(leader, now);
    let known = state.known.borrow();
    let task = known.task.filter(|it| now < it.at + WATCH)?;
    let own = known.report.as_ref()?.rank;
    let leader = task.roles.leader;
    if known.switching || leader == own {
        return None;
    }
    let before = alive
        .iter()
        .filter(|it| **it < own && **it != leader)
        .count();
    let patience = STILL_FOR + STEP * u32::try_from(before).unwrap_or(u32::MAX);
    // One that finishes the switch gives tasks as well.
    let last = known.advanced.max(task.at);
    let is_left = is_gone(leader) || now >= last + LONGEST_STILL;
    (is_left && now >= last + patience).then_some(task.roles)
}
