//! Brings one engine to the goal that a leader has set.

use std::{net::SocketAddr, time::Duration};

use jj_adapter::engine::{Engine, EngineReport, OrderGuard};
use jj_news::{Message, RankTask};
use jj_policy::{
    map_switch::{self, Goal, RankOrder, RankView, SetMap, Step},
    switch_run::Outcome,
};

use jj_utils::{events, log_event};

use crate::{
    map_transfer,
    state::{HeldExperts, State},
};

/// Longest wait for an engine's answer. An order that has none may be carried out later, so a new
/// one names the number of orders that the engine has accepted since.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time that an agent waits for a load to be complete before it answers, so that the leader need
/// not ask again.
const LOAD_WAIT: Duration = Duration::from_millis(50);

/// Time between two looks at a load.
const LOAD_LOOK: Duration = Duration::from_millis(8);

/// Time between two looks at a load at an engine beside another agent, whose reports are older.
const FAR_LOOK: Duration = Duration::from_millis(60);

/// Looks at it.
const FAR_LOOKS: u32 = 12;

/// Longest wait for a report of such an engine.
const FAR_LIMIT: Duration = Duration::from_millis(150);

/// Time after which a load that was accepted and is still not complete is ordered again.
const LOAD_LIMIT: Duration = Duration::from_secs(4);

/// Works on a task at the engine beside this agent, and answers; once more when the map has been
/// fetched that it lacks.
pub async fn execute_task(state: &State, task: RankTask) {
    let goal = task.goal;
    if answer(state, &task).await && map_transfer::fetch(state, task.leader.ip(), &goal).await {
        answer(state, &task).await;
    }
}

/// Takes the next step of a task and tells what the engine said; true where the map of the task is
/// not known.
async fn answer(state: &State, task: &RankTask) -> bool {
    let Ok(report) = read_report(state).await else {
        return false;
    };
    let map = state.group.borrow_mut().resolve_map(task);
    let advanced = take_step(
        state,
        &state.engine,
        &report.view,
        &task.goal,
        map.as_deref(),
    )
    .await;
    let view = loaded(state, task, advanced.view).await;
    let reply = Message::RankReply {
        number: task.number,
        rank: report.rank,
        view,
        version: task.goal.version,
        outcome: advanced.outcome,
    };
    state.send(task.leader, &reply);
    let has_to_load =
        report.view.map < task.goal.version && report.view.loaded != Some(task.goal.version);
    map.is_none() && has_to_load
}

/// The engine's view once it has loaded the map of a task, or after some time.
async fn loaded(state: &State, task: &RankTask, view: RankView) -> RankView {
    let mut view = view;
    let until = state.clock.now() + LOAD_WAIT;
    while is_loading(state, task.goal.version)
        && view.loaded != Some(task.goal.version)
        && view.map < task.goal.version
        && state.clock.now() < until
    {
        tokio::time::sleep(LOAD_LOOK).await;
        if let Ok(report) = read_report(state).await {
            view = report.view;
        }
    }
    view
}

/// Has an engine load a map whose agent does not answer; the engine after that, as far as it is certain: a
/// report to another instance may be old, so only the number of the accepted order is believed. None where
/// it does not answer, or can't load.
pub async fn load_remote(engine: &Engine, goal: &Goal, map: Vec<SetMap>) -> Option<StepResult> {
    let view = match engine.report(FAR_LIMIT).await {
        Ok(report) => report.view,
        Err(error) => {
            log::debug!("no report of an engine whose agent does not answer: {error:#}");
            return None;
        }
    };
    let order = match map_switch::next_step(&view, goal, false) {
        Step::Load => RankOrder::Load {
            version: goal.version,
            map,
        },
        step => {
            log::debug!("an engine whose agent does not answer can't load: {step:?}, {view:?}");
            return None;
        }
    };
    let outcome = send_order(engine, &view, goal, &order).await;
    let outcome = Some(outcome);
    if outcome != Some(Outcome::Accepted) {
        log::debug!("an engine whose agent does not answer did not take the load: {outcome:?}");
        return Some(StepResult { view, outcome });
    }
    for _ in 0..FAR_LOOKS {
        tokio::time::sleep(FAR_LOOK).await;
        let Ok(report) = engine.report(FAR_LIMIT).await else {
            continue;
        };
        let view_after = report.view;
        let is_loaded = view_after.loaded == Some(goal.version);
        if is_loaded && view_after.sequence == view.sequence + 1 {
            return Some(StepResult {
                view: view_after,
                outcome,
            });
        }
    }
    None
}

/// Reads the report of the engine beside this agent.
///
/// # Errors
/// When it does not answer.
pub async fn read_report(state: &State) -> anyhow::Result<EngineReport> {
    let asked = state.clock.now();
    let report = state.engine.report(ANSWER_TIMEOUT).await?;
    let mut group = state.group.borrow_mut();
    let before = group
        .report
        .as_ref()
        .map(|it| (it.view.is_open, it.view.epoch));
    if before != Some((report.view.is_open, report.view.epoch)) {
        log_event!(
            events::GROUP_STATE,
            rank = report.rank, epoch = report.view.epoch, open = report.view.is_open;
            "the group's state as its engine reports it"
        );
        state.group_changed.notify_one();
        state.heartbeat_due.notify_one();
    }
    if group.report_at <= asked {
        group.report_at = asked;
        let pass = group.report.as_ref().map(|it| it.view.pass);
        let has_work = report.running + report.waiting > 0 || report.view.held.is_some();
        if pass != Some(report.view.pass) || !has_work || !report.view.is_open {
            group.last_progress = state.clock.now();
        }
        group
            .pass_length
            .observe(state.clock.now(), report.view.pass);
        group.report = Some(report.clone());
    }
    Ok(report)
}

/// An engine after a step towards a goal.
pub struct StepResult {
    /// What the engine says of itself.
    pub view: RankView,
    /// What became of the order for it; none where none was given.
    pub outcome: Option<Outcome>,
}

/// Takes the next step towards the goal.
pub async fn take_step(
    state: &State,
    engine: &Engine,
    view: &RankView,
    goal: &Goal,
    map: Option<&[SetMap]>,
) -> StepResult {
    let unchanged = |outcome| StepResult {
        view: *view,
        outcome,
    };
    let is_loading = is_loading(state, goal.version);
    let step = map_switch::next_step(view, goal, is_loading);
    let Some(order) = order_for(step, goal, map) else {
        return unchanged(None);
    };
    let outcome = send_order(engine, view, goal, &order).await;
    if outcome != Outcome::Accepted {
        log_event!(
            events::ORDER_NOT_TAKEN,
            version = goal.version, term = goal.term, sequence = view.sequence,
            outcome = outcome.name();
            "the engine beside this agent did not take an order"
        );
        return unchanged(Some(outcome));
    }
    if matches!(order, RankOrder::Load { .. }) {
        let now = state.clock.now();
        state.group.borrow_mut().loading_map = Some((goal.version, now));
    }
    let view = RankView {
        sequence: view.sequence + 1,
        ..*view
    };
    StepResult {
        view,
        outcome: Some(outcome),
    }
}

/// Gives an order that is void once the engine has accepted another one.
pub async fn send_order(
    engine: &Engine,
    view: &RankView,
    goal: &Goal,
    order: &RankOrder,
) -> Outcome {
    let guard = OrderGuard {
        term: goal.term,
        sequence: view.sequence,
        epoch: goal.epoch,
    };
    engine.order(order, guard, ANSWER_TIMEOUT).await
}

fn is_loading(state: &State, version: u64) -> bool {
    let now = state.clock.now();
    let loading = state.group.borrow().loading_map;
    loading.is_some_and(|(it, since)| it == version && now < since + LOAD_LIMIT)
}

fn order_for(step: Step, goal: &Goal, map: Option<&[SetMap]>) -> Option<RankOrder> {
    match step {
        Step::Load => Some(RankOrder::Load {
            version: goal.version,
            map: map?.to_vec(),
        }),
        Step::Activate(activation) => Some(RankOrder::Activate(activation)),
        Step::Done | Step::Wait | Step::Impossible => None,
    }
}

/// Tells a leader the experts of the engine beside this agent.
pub async fn send_experts(state: &State, to: SocketAddr) {
    let Some(rank) = state.rank() else {
        return;
    };
    let Ok(experts) = state.engine.experts(ANSWER_TIMEOUT).await else {
        return;
    };
    let message = Message::RankExperts {
        rank,
        version: experts.version,
        sets: experts.sets,
    };
    state.send(to, &message);
}

/// Notes the experts of the engine beside this agent.
pub async fn record_experts(state: &State) {
    let (Some(rank), Ok(experts)) = (state.rank(), state.engine.experts(ANSWER_TIMEOUT).await)
    else {
        return;
    };
    let held = HeldExperts {
        version: experts.version,
        sets: experts.sets,
    };
    state.group.borrow_mut().held_experts.insert(rank, held);
}
