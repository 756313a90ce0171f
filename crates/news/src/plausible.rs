//! Messages that can be read and still say what can't be: they are dropped before anybody reckons with them.

use std::time::Duration;

use jj_policy::{
    catalog::ExpertSpec,
    load_sums::InFlightUpdate,
    map_switch::{Goal, RankView},
};
use jj_utils::ids::{Rank, Term};

use crate::{GroupStatus, Message, OrderBatch, RankStatus, RankTask, Roster};

/// Ranks that a group may have.
const MOST_RANKS: Rank = 4_096;

/// Sets of layers that an engine may have.
const MOST_SETS: u32 = 1_024;

/// Experts that all sets may have together.
const MOST_EXPERTS: u64 = 1 << 20;

/// Requests that there may be at one server.
const MOST_REQUESTS: u32 = 1_000_000;

/// Largest number of a pass, version or order: the largest whole number that JSON carries safely.
const LARGEST_NUMBER: u64 = 1 << 53;

/// Longest time that is told.
const LONGEST: Duration = Duration::from_secs(3_600);

/// How much slower than usual an engine may be.
const SLOWEST: f64 = 10_000.0;

impl Message {
    /// Whether what it says can be.
    pub(crate) fn is_plausible(&self) -> bool {
        match self {
            Self::Use { uses, .. } => is_use(uses),
            Self::Roster(roster) => is_roster(roster),
            Self::GroupStatus(news) => is_group(news),
            Self::RankStatus(status) => is_status(status),
            Self::RankTask(task) | Self::TaskBatch { task, .. } => is_task(task),
            Self::OrderBatch(batch) => is_batch(batch),
            Self::DelegateActivation { goal, .. } => is_goal(goal),
            Self::AskDeputy { term, .. } | Self::HigherTerm { term, .. } => is_term(*term),
            Self::RankReply { rank, view, .. } => is_rank(*rank) && is_view(view),
            Self::RankExperts { rank, sets, .. } => {
                is_rank(*rank) && sets.len() <= MOST_SETS as usize
            }
            Self::Hello(_)
            | Self::AskRoster { .. }
            | Self::ServerLeaves(_)
            | Self::RankCounts(_)
            | Self::OrderResults { .. }
            | Self::DeputyReply { .. }
            | Self::AskExperts => true,
        }
    }
}

fn is_rank(rank: Rank) -> bool {
    rank < MOST_RANKS
}

fn is_number(number: u64) -> bool {
    number < LARGEST_NUMBER
}

fn is_term(term: Term) -> bool {
    is_number(term)
}

fn is_pace(pace: f64) -> bool {
    (0.0..=SLOWEST).contains(&pace)
}

fn is_use(uses: &InFlightUpdate) -> bool {
    uses.servers.iter().all(|it| it.requests <= MOST_REQUESTS)
        && uses.tokens.iter().all(|it| is_number(it.total))
}

fn is_roster(roster: &Roster) -> bool {
    is_experts(&roster.experts) && roster.idle_pass <= LONGEST && roster.gap_target <= LONGEST
}

fn is_experts(spec: &ExpertSpec) -> bool {
    let all = u64::from(spec.sets) * u64::from(spec.experts);
    let held = u64::from(spec.sets) * u64::from(spec.slots);
    spec.sets <= MOST_SETS && all <= MOST_EXPERTS && held <= MOST_EXPERTS
}

fn is_group(news: &GroupStatus) -> bool {
    is_number(news.epoch) && is_pace(news.slowdown)
}

fn is_status(status: &RankStatus) -> bool {
    is_rank(status.rank)
        && is_view(&status.view)
        && is_term(status.term)
        && is_pace(status.slowdown)
        && status.running.max(status.waiting) <= MOST_REQUESTS
}

fn is_view(view: &RankView) -> bool {
    let numbers = [view.epoch, view.pass, view.sequence, view.map];
    numbers.into_iter().all(is_number)
}

fn is_task(task: &RankTask) -> bool {
    let roles = [task.roles.leader, task.roles.deputy, task.roles.gate];
    roles.into_iter().all(is_rank) && is_goal(&task.goal)
}

fn is_batch(batch: &OrderBatch) -> bool {
    is_goal(&batch.goal) && batch.orders.iter().all(|it| is_rank(it.rank))
}

fn is_goal(goal: &Goal) -> bool {
    let pass = goal.pass.unwrap_or_default();
    let numbers = [goal.term, goal.epoch, goal.version, pass];
    numbers.into_iter().all(is_number)
}
