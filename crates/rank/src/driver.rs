//! Drives an engine towards the goal of a leader's task: reads its report and sends the next order.

use std::{net::SocketAddr, time::Duration};

use jj_adapter::engine::{EngineClient, EngineReport, NoGroup, OrderGuard};
use jj_news::{Message, RankTask};
use jj_policy::{
    group_members::{GroupTag, group_tag},
    map_switch::{self, Goal, NextAction, RankOrder, RankView, SetMap},
    switch_run::RankOrderOutcome,
};

use jj_utils::{clock::Timestamp, events, ids::Rank, log_event};

use crate::{
    map_transfer,
    state::{HeldExperts, State},
};

/// Timeout for an engine's answer. An order without an answer may still be executed later, so a new
/// order states how many orders the engine has accepted since.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time for which an agent waits for a load to complete before it replies, which saves the
/// leader from asking again.
const LOAD_WAIT: Duration = Duration::from_millis(50);

/// Interval between reads of the engine's report during that wait.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(8);

/// Interval between reads of a remote engine's report during a load; remote reports are older.
const REMOTE_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of those reads.
const MAX_REMOTE_POLLS: u32 = 12;

/// Timeout for a report of a remote engine.
const REMOTE_REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after which an accepted load that has not completed is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Executes a task at this agent's engine and replies. If the agent lacks the map, it fetches the
/// map from the leader and tries once more.
pub async fn execute_task(state: &State, task: RankTask) {
    let goal = task.goal;
    if step_and_reply(state, &task).await
        && map_transfer::fetch(state, task.leader.ip(), task.group, &goal).await
    {
        step_and_reply(state, &task).await;
    }
}

/// Takes the next step of a task and replies with the engine's state. Returns true if the engine has
/// to load the map and this agent does not know its content.
async fn step_and_reply(state: &State, task: &RankTask) -> bool {
    let Ok(report) = read_report(state).await else {
        return false;
    };
    // The engine may be in another group by now.
    if !state.is_own_group(task.group) {
        return false;
    }
    let map = state.group.borrow_mut().resolve_map(task);
    let result = take_step(
        state,
        &state.engine,
        &report.view,
        &task.goal,
        map.as_deref(),
    )
    .await;
    let view = wait_for_load(state, task, result.view).await;
    let reply = Message::RankReply {
        number: task.number,
        rank: report.rank,
        view,
        version: task.goal.version,
        outcome: result.outcome,
        group: state.own_group(),
    };
    state.send(task.leader, &reply);
    let has_to_load =
        report.view.map < task.goal.version && report.view.loaded != Some(task.goal.version);
    map.is_none() && has_to_load
}

/// Waits until the engine has loaded the map of a task, at most [`LOAD_WAIT`]; returns its state.
async fn wait_for_load(state: &State, task: &RankTask, view: RankView) -> RankView {
    let mut view = view;
    let deadline = state.clock.now() + LOAD_WAIT;
    while is_loading(state, task.goal.version)
        && view.loaded != Some(task.goal.version)
        && view.map < task.goal.version
        && state.clock.now() < deadline
    {
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        if let Ok(report) = read_report(state).await {
            view = report.view;
        }
    }
    view
}

/// Orders an engine whose agent does not answer to load a map, and waits for the load. Returns none
/// if the engine can't be read, can't load the map or does not confirm the load; if it only did not
/// accept the order, returns its state before.
pub async fn load_remote(
    engine: &EngineClient,
    expected: RankInGroup,
    goal: &Goal,
    map: Vec<SetMap>,
) -> Option<StepResult> {
    let view = fetch_remote_view(engine, expected).await?;
    let order = match map_switch::next_action(&view, goal, false) {
        NextAction::Load => RankOrder::Load {
            version: goal.version,
            map,
        },
        step => {
            log::debug!("remote engine can't load the map: {step:?}, {view:?}");
            return None;
        }
    };
    let outcome = send_order(engine, &view, goal, &order).await;
    if !outcome.is_in_force() {
        log::debug!("remote engine did not accept the load of the map: {outcome:?}");
        let outcome = Some(outcome);
        return Some(StepResult { view, outcome });
    }
    let outcome = Some(outcome);
    for _ in 0..MAX_REMOTE_POLLS {
        tokio::time::sleep(REMOTE_POLL_INTERVAL).await;
        let Some(view) = fetch_remote_view(engine, expected).await else {
            continue;
        };
        if view.loaded == Some(goal.version) {
            return Some(StepResult { view, outcome });
        }
    }
    None
}

/// Reads the report of this agent's engine and updates the group's state from it.
///
/// # Errors
/// When the engine does not answer in time with a valid report.
pub async fn read_report(state: &State) -> anyhow::Result<EngineReport> {
    let requested_at = state.clock.now();
    let report = match state.engine.fetch_report(ANSWER_TIMEOUT).await {
        Ok(report) => report,
        Err(error) => {
            if error.is::<NoGroup>() {
                join(state, requested_at, None);
            }
            return Err(error);
        }
    };
    if state
        .group
        .borrow()
        .is_of_other_group(requested_at, &report)
    {
        join(state, requested_at, Some(group_tag(&report.group_name)));
    }
    let mut group = state.group.borrow_mut();
    let before = group
        .report
        .as_ref()
        .map(|it| (it.view.is_open, it.view.epoch));
    if before != Some((report.view.is_open, report.view.epoch)) {
        log_event!(
            events::GROUP_STATE,
            rank = report.rank, epoch = report.view.epoch, open = report.view.is_open;
            "the engine reported a new state of the group"
        );
        state.group_changed.notify_one();
        state.heartbeat_due.notify_one();
    }
    if group.report_at <= requested_at {
        group.report_at = requested_at;
        group.received_at = state.clock.now();
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

/// Begins anew with the group that the engine has named, or with none, unless a report that was
/// requested later is known.
fn join(state: &State, requested_at: Timestamp, tag: Option<GroupTag>) {
    let mut group = state.group.borrow_mut();
    if group.report_at > requested_at || (tag.is_none() && group.report.is_none()) {
        return;
    }
    let before = group.members.group();
    group.join(tag);
    log_event!(
        events::GROUP_CHANGED,
        group = tag.unwrap_or_default(), before = before;
        "the engine has named its group, which is not the one known before"
    );
    state.heartbeat_due.notify_one();
}

/// Result of a step towards a goal.
pub struct StepResult {
    /// State of the engine after the step.
    pub view: RankView,
    /// Outcome of the order that was sent; none if none was needed.
    pub outcome: Option<RankOrderOutcome>,
}

/// Sends the order for the next step towards the goal, if one is needed.
pub async fn take_step(
    state: &State,
    engine: &EngineClient,
    view: &RankView,
    goal: &Goal,
    map: Option<&[SetMap]>,
) -> StepResult {
    let unchanged = |outcome| StepResult {
        view: *view,
        outcome,
    };
    let is_loading = is_loading(state, goal.version);
    let step = map_switch::next_action(view, goal, is_loading);
    let Some(order) = order_for(step, goal, map) else {
        return unchanged(None);
    };
    let outcome = send_order(engine, view, goal, &order).await;
    if !outcome.is_in_force() {
        log_event!(
            events::ORDER_NOT_TAKEN,
            version = goal.version, term = goal.term, sequence = view.sequence,
            outcome = outcome.name();
            "the engine did not accept an order"
        );
        return unchanged(Some(outcome));
    }
    if matches!(order, RankOrder::Load { .. }) {
        let now = state.clock.now();
        state.group.borrow_mut().loading_map = Some((goal.version, now));
    }
    let counted = outcome == RankOrderOutcome::Accepted;
    let view = RankView {
        sequence: view.sequence + u64::from(counted),
        ..*view
    };
    StepResult {
        view,
        outcome: Some(outcome),
    }
}

/// Sends an order that is void if the engine has accepted another one since `view` was read.
pub async fn send_order(
    engine: &EngineClient,
    view: &RankView,
    goal: &Goal,
    order: &RankOrder,
) -> RankOrderOutcome {
    let guard = OrderGuard {
        term: goal.term,
        sequence: view.sequence,
        epoch: goal.epoch,
    };
    engine.send_order(order, guard, ANSWER_TIMEOUT).await
}

/// Returns whether this agent's engine accepted a load of the map less than [`LOAD_TIMEOUT`] ago.
fn is_loading(state: &State, version: u64) -> bool {
    let now = state.clock.now();
    let loading = state.group.borrow().loading_map;
    loading.is_some_and(|(it, since)| it == version && now < since + LOAD_TIMEOUT)
}

/// Returns the order for a step; none if the step needs no order or the map is not known.
fn order_for(step: NextAction, goal: &Goal, map: Option<&[SetMap]>) -> Option<RankOrder> {
    match step {
        NextAction::Load => Some(RankOrder::Load {
            version: goal.version,
            map: map?.to_vec(),
        }),
        NextAction::Activate(activation) => Some(RankOrder::Activate(activation)),
        NextAction::Done | NextAction::Wait | NextAction::Impossible => None,
    }
}

/// Rank of a group, as which an engine on another instance has to report itself.
#[derive(Debug, Clone, Copy)]
pub struct RankInGroup {
    /// The group.
    pub group: GroupTag,
    /// The rank.
    pub rank: Rank,
}

/// Reads the report of an engine whose agent does not answer, as it was no earlier than the call:
/// engines tell other instances reports that are up to `lag` old.
pub async fn read_remote(
    engine: &EngineClient,
    expected: RankInGroup,
    lag: Duration,
) -> Option<RankView> {
    tokio::time::sleep(lag).await;
    fetch_remote_view(engine, expected).await
}

/// Reads the report of an engine on another instance; returns none if it can't be read or the engine
/// is not the expected rank, as its server may have come back in another group.
async fn fetch_remote_view(engine: &EngineClient, expected: RankInGroup) -> Option<RankView> {
    match engine.fetch_report(REMOTE_REPORT_TIMEOUT).await {
        Ok(report) => {
            let is_expected =
                group_tag(&report.group_name) == expected.group && report.rank == expected.rank;
            if !is_expected {
                log_event!(
                    events::OTHER_GROUP,
                    rank = expected.rank, group = expected.group,
                    reported_rank = report.rank, reported_group = report.group_name.as_str();
                    "an engine on another instance is not the expected rank"
                );
            }
            is_expected.then_some(report.view)
        }
        Err(error) => {
            log::debug!("failed to read the report of a remote engine: {error:#}");
            None
        }
    }
}

/// Sends the experts of this agent's engine to a leader.
pub async fn send_experts(state: &State, to: SocketAddr) {
    let Some(rank) = state.rank() else {
        return;
    };
    let Ok(experts) = state.engine.fetch_rank_experts(ANSWER_TIMEOUT).await else {
        return;
    };
    let message = Message::RankExperts {
        rank,
        version: experts.version,
        sets: experts.sets,
        group: state.own_group(),
    };
    state.send(to, &message);
}

/// Records the experts of this agent's engine.
pub async fn record_experts(state: &State) {
    let (Some(rank), Ok(experts)) = (
        state.rank(),
        state.engine.fetch_rank_experts(ANSWER_TIMEOUT).await,
    ) else {
        return;
    };
    let held = HeldExperts {
        version: experts.version,
        sets: experts.sets,
    };
    state.group.borrow_mut().held_experts.insert(rank, held);
}
