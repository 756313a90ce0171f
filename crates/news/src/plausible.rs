//! Range checks of decoded messages: one that is well formed but holds impossible values is dropped
//! before any code computes with them.

use std::time::Duration;

use jj_policy::{
    catalog::ExpertSpec,
    crash_reports::{self, CrashReport, LostReport, SuspectNews},
    load_sums::InFlightUpdate,
    map_switch::{Goal, RankView},
    rate_limits::RateStatement,
};
use jj_utils::ids::{Rank, Term};

use crate::{GroupStatus, MAX_RATES, Message, OrderBatch, RankStatus, RankTask, Roster};

/// Maximum number of ranks in a group.
const MAX_RANKS: Rank = 4_096;

/// Maximum number of sets of layers in an engine.
const MAX_SETS: u32 = 1_024;

/// Maximum number of experts in all sets together.
const MAX_EXPERTS: u64 = 1 << 20;

/// Maximum number of requests at one server.
const MAX_REQUESTS: u32 = 1_000_000;

/// Bound on epochs, terms, versions and numbers of passes and orders: up to 2^53, JSON carries
/// integers exactly.
const MAX_NUMBER: u64 = 1 << 53;

/// Longest duration in a message.
const MAX_DURATION: Duration = Duration::from_secs(3_600);

/// Maximum age of the reports that engines tell other instances.
const MAX_REPORT_LAG: Duration = Duration::from_secs(10);

/// Largest slowdown of an engine.
const MAX_SLOWDOWN: f64 = 10_000.0;

impl Message {
    /// Returns whether all values of the message are within their ranges.
    pub(crate) fn is_plausible(&self) -> bool {
        match self {
            Self::InFlight { uses, .. } => is_valid_load_report(uses),
            Self::Roster(roster) => is_valid_roster(roster),
            Self::GroupStatus(status) => is_valid_group_status(status),
            Self::RankStatus(status) => is_valid_rank_status(status),
            Self::RankTask(task) | Self::TaskBatch { task, .. } => is_valid_task(task),
            Self::OrderBatch(batch) => is_valid_batch(batch),
            Self::DelegateActivation { goal, .. } => is_valid_goal(goal),
            Self::AskDeputy { term, .. } | Self::HigherTerm { term, .. } => is_valid_term(*term),
            Self::RankReply { rank, view, .. } => is_valid_rank(*rank) && is_valid_view(view),
            Self::RankExperts { rank, sets, .. } => {
                is_valid_rank(*rank) && sets.len() <= MAX_SETS as usize
            }
            Self::ServerRates(rates) => {
                rates.len() <= MAX_RATES && rates.iter().all(RateStatement::is_valid)
            }
            Self::Suspects(exchange) => {
                is_valid_suspect_news(&exchange.news)
                    && exchange.lost.iter().all(LostReport::is_bounded)
            }
            Self::Hello(_)
            | Self::AskRoster { .. }
            | Self::ServerLeaves(_)
            | Self::RankCounts(_)
            | Self::OrderResults { .. }
            | Self::DeputyReply { .. }
            | Self::AskExperts { .. } => true,
        }
    }
}

fn is_valid_rank(rank: Rank) -> bool {
    rank < MAX_RANKS
}

fn is_valid_number(number: u64) -> bool {
    number < MAX_NUMBER
}

fn is_valid_term(term: Term) -> bool {
    is_valid_number(term)
}

fn is_valid_slowdown(slowdown: f64) -> bool {
    (0.0..=MAX_SLOWDOWN).contains(&slowdown)
}

fn is_valid_load_report(uses: &InFlightUpdate) -> bool {
    uses.servers.iter().all(|it| it.requests <= MAX_REQUESTS)
        && uses.tokens.iter().all(|it| is_valid_number(it.total))
}

fn is_valid_roster(roster: &Roster) -> bool {
    is_valid_experts(&roster.experts)
        && roster.idle_pass <= MAX_DURATION
        && roster.gap_target <= MAX_DURATION
        && Duration::from_millis(roster.report_lag_ms.into()) <= MAX_REPORT_LAG
}

fn is_valid_experts(spec: &ExpertSpec) -> bool {
    let all = u64::from(spec.sets) * u64::from(spec.experts);
    let held = u64::from(spec.sets) * u64::from(spec.slots);
    spec.sets <= MAX_SETS && all <= MAX_EXPERTS && held <= MAX_EXPERTS
}

fn is_valid_group_status(status: &GroupStatus) -> bool {
    is_valid_number(status.epoch)
        && is_valid_slowdown(status.slowdown)
        && status.servers.len() <= MAX_RANKS as usize
}

fn is_valid_rank_status(status: &RankStatus) -> bool {
    is_valid_rank(status.rank)
        && is_valid_view(&status.view)
        && is_valid_term(status.term)
        && is_valid_slowdown(status.slowdown)
        && status.running.max(status.waiting) <= MAX_REQUESTS
}

fn is_valid_view(view: &RankView) -> bool {
    let numbers = [view.epoch, view.pass, view.sequence, view.map];
    let active = view.active.map(|it| it.version.max(it.pass));
    let optional = [view.loaded, view.held, active].into_iter().flatten();
    numbers.into_iter().chain(optional).all(is_valid_number)
}

fn is_valid_task(task: &RankTask) -> bool {
    let roles = [task.roles.leader, task.roles.deputy, task.roles.gate];
    roles.into_iter().all(is_valid_rank)
        && is_valid_goal(&task.goal)
        && is_valid_number(task.switch_version)
}

fn is_valid_batch(batch: &OrderBatch) -> bool {
    is_valid_goal(&batch.goal) && batch.orders.iter().all(|it| is_valid_rank(it.rank))
}

fn is_valid_goal(goal: &Goal) -> bool {
    let pass = goal.pass.unwrap_or_default();
    let numbers = [goal.term, goal.epoch, goal.version, pass];
    numbers.into_iter().all(is_valid_number)
}

fn is_valid_suspect_news(news: &SuspectNews) -> bool {
    news.crashes.len() <= crash_reports::MAX_CRASHES
        && news.crashes.iter().all(CrashReport::is_bounded)
}
