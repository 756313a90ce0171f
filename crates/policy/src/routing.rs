//! Chooses the backend server for one attempt.
//!
//! Two candidates drawn at random and the home of the request's prefix are compared by the expected
//! time to the first token. Reports of load are stale, so each is corrected by this process's own
//! requests since and pulled towards the mean of all reports as it ages: a stale report of an idle
//! server then cannot draw every entry to it at once.
//!
//! Each client account has a shard of the servers. An account that floods, by its part of this
//! process's requests in flight, may fill its shard; beyond it may use only servers that are not
//! busy, so that it leaves the other accounts room there.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

pub use crate::candidate::{Candidate, LoadReport, RoutingConfig};
use crate::{
    load_estimate::{FleetMean, LoadEstimate},
    membership::MemberState,
    rendezvous,
    subset::{self, Node},
};

/// Hash of a prompt's shared beginning.
pub type PrefixHash = u64;

/// Requests that a prefix's home may have whatever the mean load is.
const HOME_LOAD: f64 = 1.0;

/// Requests that a prefix's holder may have whatever the mean load is: the report on its last
/// answer counts the request of that answer, which has ended since.
const HOLDER_LOAD: f64 = 2.0;

/// What the choice needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestFacts<'a> {
    /// Shared prefix, if the request has one.
    pub prefix: Option<PrefixHash>,
    /// Hash of the client account's name.
    pub account_hash: u64,
    /// Weight of the account over the sum of all weights; 1 where accounts don't matter.
    pub account_share: f64,
    /// Part of this process's requests in flight for the service that are the account's.
    pub account_in_flight_share: f64,
    /// Time that a cached prefix saves.
    pub prefill_time: Duration,
    /// When the answer is worth nothing any more.
    pub deadline: Timestamp,
    /// Servers that an earlier attempt of this request was sent to.
    pub tried_servers: &'a [&'a str],
}

common_derives! {copy:
    /// Why a candidate was chosen.
    pub enum ChoiceReason {
        /// The better one of two random draws.
        RandomDraw,
        /// Believed to hold the request's prefix.
        PrefixHolder,
        /// Home of the request's prefix.
        PrefixHome,
        /// Neither draw would meet the deadline, so all candidates were compared.
        Deadline,
    }
}

common_derives! {copy:
    /// The chosen candidate.
    pub struct Choice {
        /// Position in the slice of candidates.
        pub index: usize,
        /// Expected time to the first token.
        pub expected_first_token: Duration,
        /// Why this one.
        pub reason: ChoiceReason,
    }
}

common_derives! {copy:
    /// No candidate may take the request now.
    #[derive(thiserror::Error)]
    #[error("no backend server takes new work; retry after {} ms", retry_after.as_millis())]
    pub struct NoServerAvailable {
        /// When the first candidate may take work again.
        pub retry_after: Duration,
    }
}

/// Chooses a backend server; `draws` are two independent random numbers.
///
/// # Errors
/// [`NoServerAvailable`] when membership, earlier refusals or earlier attempts exclude every candidate.
pub fn choose_backend(
    config: &RoutingConfig,
    candidates: &[Candidate<'_>],
    request: &RequestFacts<'_>,
    now: Timestamp,
    draws: [u64; 2],
) -> Result<Choice, NoServerAvailable> {
    let taking = taking_work(candidates);
    let reports = taking.iter().filter_map(|&i| candidates[i].report);
    let decision = Decision {
        config,
        candidates,
        request,
        now,
        fleet: FleetMean::of(config, reports),
    };
    let open = decision.open(&taking);
    if open.is_empty() {
        let retry_after = decision.first_opening(&taking);
        return Err(NoServerAvailable { retry_after });
    }
    Ok(decision.best_of(&open, draws))
}

/// The candidates that membership lets take work: the live ones, else the suspect ones.
fn taking_work(candidates: &[Candidate<'_>]) -> Vec<usize> {
    let in_state = |state: MemberState| -> Vec<usize> {
        let all = 0..candidates.len();
        all.filter(|&i| candidates[i].state == state).collect()
    };
    let live = in_state(MemberState::Live);
    if live.is_empty() {
        return in_state(MemberState::Suspect);
    }
    live
}

/// Everything that one choice looks at.
struct Decision<'a> {
    config: &'a RoutingConfig,
    candidates: &'a [Candidate<'a>],
    request: &'a RequestFacts<'a>,
    now: Timestamp,
    fleet: FleetMean,
}

impl Decision<'_> {
    /// Servers that may take the request: neither closed nor tried; of an account that floods only
    /// those in its shard or not busy.
    fn open(&self, taking: &[usize]) -> Vec<usize> {
        let is_open = |&index: &usize| {
            let server = &self.candidates[index];
            server.closed_until <= self.now && !self.request.tried_servers.contains(&server.id)
        };
        let is_spare = |index: usize| {
            let estimate = self.estimate(index);
            estimate.load + 1.0 <= self.config.max_spill_utilisation * estimate.limit
        };
        let open = taking.iter().copied().filter(is_open);
        if self.request.account_in_flight_share
            <= self.config.flood_factor * self.request.account_share
        {
            return open.collect();
        }
        let shard = self.shard(taking);
        let allowed = |&index: &usize| shard.contains(&index) || is_spare(index);
        open.filter(allowed).collect()
    }

    /// The account's own servers, spread over failure domains.
    fn shard(&self, taking: &[usize]) -> Vec<usize> {
        let part = (self.config.shard_factor * self.request.account_share).clamp(0.0, 1.0);
        let size = (part * taking.len() as f64).ceil() as usize;
        let size = size.max(self.config.min_shard_servers);
        if size >= taking.len() {
            return taking.to_vec();
        }
        let node = |&index: &usize| Node {
            id: self.candidates[index].id,
            domain: self.candidates[index].domain,
        };
        let nodes: Vec<Node<'_>> = taking.iter().map(node).collect();
        let picked = subset::pick(self.request.account_hash, &nodes, size);
        picked.into_iter().map(|at| taking[at]).collect()
    }

    /// Time until the first untried server takes work again.
    fn first_opening(&self, taking: &[usize]) -> Duration {
        let servers = taking.iter().map(|&index| &self.candidates[index]);
        let untried = servers.filter(|c| !self.request.tried_servers.contains(&c.id));
        let waits = untried.map(|c| c.closed_until.saturating_sub(self.now));
        let soonest = waits.filter(|wait| !wait.is_zero()).min();
        soonest.unwrap_or(self.config.default_retry_after)
    }

    /// The best of two draws, the prefix's home and its holder; the best of all when that is late.
    fn best_of(&self, open: &[usize], draws: [u64; 2]) -> Choice {
        let [first, second] = two_draws(open, draws);
        let mut best = self.choice(first, ChoiceReason::RandomDraw);
        best = faster(best, self.choice(second, ChoiceReason::RandomDraw));
        if let Some(home) = self.prefix_home(open) {
            best = faster(best, home);
        }
        if let Some(holder) = self.prefix_holder(open) {
            best = faster(best, holder);
        }
        if self.now + best.expected_first_token < self.request.deadline {
            return best;
        }
        let others = open.iter().map(|&i| self.choice(i, ChoiceReason::Deadline));
        others.fold(best, faster)
    }

    fn choice(&self, index: usize, reason: ChoiceReason) -> Choice {
        Choice {
            index,
            expected_first_token: self
                .expected(index, self.candidates[index].prefix_hit_probability),
            reason,
        }
    }

    /// The first server in the prefix's ranking whose load is within the bound.
    fn prefix_home(&self, open: &[usize]) -> Option<Choice> {
        let hash = self.request.prefix?;
        let names = open.iter().map(|&index| self.candidates[index].id);
        let ranking = rendezvous::ranking(hash, names);
        let mut ranked = ranking.into_iter().map(|at| open[at]);
        let index = ranked.find(|&index| self.is_within_bound(index, HOME_LOAD))?;
        let hit = self.candidates[index]
            .prefix_hit_probability
            .max(self.config.home_hit_probability);
        Some(Choice {
            index,
            expected_first_token: self.expected(index, hit),
            reason: ChoiceReason::PrefixHome,
        })
    }

    /// The server most believed to hold the prefix, of those whose load is within the bound.
    fn prefix_holder(&self, open: &[usize]) -> Option<Choice> {
        let hit = |index: usize| self.candidates[index].prefix_hit_probability;
        let holders = open.iter().copied().filter(|&index| hit(index) > 0.0);
        let within = holders.filter(|&index| self.is_within_bound(index, HOLDER_LOAD));
        let best = within.max_by(|&a, &b| hit(a).total_cmp(&hit(b)))?;
        Some(self.choice(best, ChoiceReason::PrefixHolder))
    }

    /// Whether one more request keeps a server within the bound; `least` is allowed in any case.
    fn is_within_bound(&self, index: usize, least: f64) -> bool {
        let estimate = self.estimate(index);
        let bound = self.config.load_bound * self.fleet.utilisation * estimate.limit;
        estimate.load + 1.0 <= bound.max(least).ceil()
    }

    fn estimate(&self, index: usize) -> LoadEstimate {
        LoadEstimate::of(self.config, &self.candidates[index], &self.fleet, self.now)
    }

    /// Expected time to the first token at a server that holds the prefix with probability `hit`.
    fn expected(&self, index: usize, hit: f64) -> Duration {
        let delay = self.estimate(index).delay(self.config.contention_share);
        let miss = 1.0 - hit.clamp(0.0, 1.0);
        let prefill = self.request.prefill_time.as_secs_f64() * miss;
        self.candidates[index].one_way_delay * 2 + Duration::from_secs_f64(delay + prefill)
    }
}

/// Two positions out of `open`; distinct ones when there are two.
fn two_draws(open: &[usize], draws: [u64; 2]) -> [usize; 2] {
    let len = open.len() as u64;
    let first = draws[0] % len;
    if len == 1 {
        return [open[0], open[0]];
    }
    let step = 1 + draws[1] % (len - 1);
    let second = (first + step) % len;
    [open[first as usize], open[second as usize]]
}

fn faster(best: Choice, other: Choice) -> Choice {
    if other.expected_first_token < best.expected_first_token {
        other
    } else {
        best
    }
}
