//! Chooses the backend server for one attempt.
//!
//! Two candidates drawn at random and the home of the request's prefix are compared by the expected
//! time to the first token. Reports of load are stale, so each is corrected by this process's own
//! requests since and pulled towards the mean of all reports as it ages: a stale report of an idle
//! server then cannot draw every entry to it at once.

use std::time::Duration;

use jj_utils::{clock::Timestamp, common_derives};

use crate::{membership::MemberState, rendezvous};

/// Hash of a prompt's shared beginning.
pub type PrefixHash = u64;

/// Tunables of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// Age at which a load report counts half.
    pub report_half_life: Duration,
    /// Concurrent requests assumed at a server that has not reported.
    pub unreported_limit: u32,
    /// Service time assumed at a server that has not reported.
    pub unreported_service: Duration,
    /// Share of the service time that a full server adds to a request that need not wait.
    pub contention: f64,
    /// The prefix home is passed over above this multiple of the mean utilisation.
    pub load_bound: f64,
    /// Probability that the prefix home holds the prefix when no event says so.
    pub home_hit: f64,
    /// Wait told to the caller when no candidate may take work.
    pub retry_after: Duration,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            report_half_life: Duration::from_millis(500),
            unreported_limit: 1,
            unreported_service: Duration::from_millis(500),
            contention: 0.2,
            load_bound: 1.25,
            home_hit: 0.5,
            retry_after: Duration::from_secs(1),
        }
    }
}

common_derives! {copy:
    /// Load of one backend server, as its agent last reported it.
    pub struct LoadReport {
        /// Requests running at the backend server.
        pub in_flight: u32,
        /// Requests waiting in the agent.
        pub queued: u32,
        /// Concurrent requests that the agent admits now; low while the server is cold.
        pub limit: u32,
        /// Smoothed time from admission to the end of a request.
        pub service: Duration,
        /// When the report arrived here.
        pub at: Timestamp,
    }
}

/// One backend server that may be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the backend server.
    pub id: &'a str,
    /// What membership believes of its agent.
    pub state: MemberState,
    /// One-way time to its failure domain.
    pub distance: Duration,
    /// Last load report, if any.
    pub report: Option<LoadReport>,
    /// Requests of this process that are in flight there and younger than the report.
    pub own_since: u32,
    /// Probability that the server holds the request's prefix; see [`crate::prefix`].
    pub prefix_hit: f64,
    /// The server refused work until then; zero when it did not.
    pub not_before: Timestamp,
}

/// What the choice needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestFacts<'a> {
    /// Shared prefix, if the request has one.
    pub prefix: Option<PrefixHash>,
    /// Time that a cached prefix saves.
    pub prefill: Duration,
    /// When the answer is worth nothing any more.
    pub deadline: Timestamp,
    /// Servers that an earlier attempt of this request was sent to.
    pub tried: &'a [&'a str],
}

common_derives! {copy:
    /// Why a candidate was chosen.
    pub enum ChoiceReason {
        /// The better one of two random draws.
        Drawn,
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
        pub expected: Duration,
        /// Why this one.
        pub reason: ChoiceReason,
    }
}

common_derives! {copy:
    /// No candidate may take the request now.
    #[derive(thiserror::Error)]
    #[error("no backend server takes new work; retry after {} ms", retry_after.as_millis())]
    pub struct Unavailable {
        /// When the first candidate may take work again.
        pub retry_after: Duration,
    }
}

/// Chooses a backend server; `draws` are two independent random numbers.
///
/// # Errors
/// [`Unavailable`] when membership, earlier refusals or earlier attempts exclude every candidate.
pub fn choose(
    config: &RoutingConfig,
    candidates: &[Candidate<'_>],
    request: &RequestFacts<'_>,
    now: Timestamp,
    draws: [u64; 2],
) -> Result<Choice, Unavailable> {
    let open = open_candidates(candidates, request, now);
    if open.is_empty() {
        let retry_after = first_opening(config, candidates, request, now);
        return Err(Unavailable { retry_after });
    }
    let fleet = FleetMean::of(config, candidates, &open);
    let expected = |index: usize| {
        let server = &candidates[index];
        expected_time(config, server, server.prefix_hit, request, &fleet, now)
    };

    let [first, second] = two_draws(&open, draws);
    let mut best = Choice {
        index: first,
        expected: expected(first),
        reason: ChoiceReason::Drawn,
    };
    best = faster(best, second, expected(second), ChoiceReason::Drawn);
    if let Some(home) = prefix_home(config, candidates, &open, request, &fleet, now) {
        let server = &candidates[home];
        let hit = server.prefix_hit.max(config.home_hit);
        let time = expected_time(config, server, hit, request, &fleet, now);
        best = faster(best, home, time, ChoiceReason::PrefixHome);
    }
    if now + best.expected < request.deadline {
        return Ok(best);
    }
    Ok(open.iter().fold(best, |best, &index| {
        faster(best, index, expected(index), ChoiceReason::Deadline)
    }))
}

/// Candidates that may take the request: the live ones, else the suspect ones.
fn open_candidates(
    candidates: &[Candidate<'_>],
    request: &RequestFacts<'_>,
    now: Timestamp,
) -> Vec<usize> {
    let open_in = |state: MemberState| -> Vec<usize> {
        let is_open = |c: &Candidate<'_>| {
            c.state == state && c.not_before <= now && !request.tried.contains(&c.id)
        };
        (0..candidates.len())
            .filter(|&index| is_open(&candidates[index]))
            .collect()
    };
    let live = open_in(MemberState::Live);
    if live.is_empty() {
        return open_in(MemberState::Suspect);
    }
    live
}

/// Time until the first untried candidate takes work again.
fn first_opening(
    config: &RoutingConfig,
    candidates: &[Candidate<'_>],
    request: &RequestFacts<'_>,
    now: Timestamp,
) -> Duration {
    candidates
        .iter()
        .filter(|c| c.state.may_take_work() && !request.tried.contains(&c.id))
        .map(|c| c.not_before.saturating_sub(now))
        .filter(|wait| !wait.is_zero())
        .min()
        .unwrap_or(config.retry_after)
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

fn faster(best: Choice, index: usize, expected: Duration, reason: ChoiceReason) -> Choice {
    if expected >= best.expected {
        return best;
    }
    Choice {
        index,
        expected,
        reason,
    }
}

/// The mean of the open candidates' reports, which an aged report is pulled towards.
struct FleetMean {
    /// Requests running and waiting, over the limit.
    utilisation: f64,
    /// Service time in seconds.
    service: f64,
}

impl FleetMean {
    fn of(config: &RoutingConfig, candidates: &[Candidate<'_>], open: &[usize]) -> Self {
        let reports: Vec<LoadReport> = open.iter().filter_map(|&i| candidates[i].report).collect();
        if reports.is_empty() {
            return Self {
                utilisation: 0.0,
                service: config.unreported_service.as_secs_f64(),
            };
        }
        let count = reports.len() as f64;
        let load: f64 = reports
            .iter()
            .map(|r| f64::from(r.in_flight + r.queued))
            .sum();
        let limit: f64 = reports.iter().map(|r| f64::from(r.limit.max(1))).sum();
        let service: f64 = reports.iter().map(|r| r.service.as_secs_f64()).sum();
        Self {
            utilisation: load / limit,
            service: service / count,
        }
    }
}

/// What is believed of one server's load now.
struct Estimate {
    /// Requests running and waiting.
    load: f64,
    limit: f64,
    /// Service time in seconds.
    service: f64,
}

impl Estimate {
    fn of(
        config: &RoutingConfig,
        server: &Candidate<'_>,
        fleet: &FleetMean,
        now: Timestamp,
    ) -> Self {
        let own = f64::from(server.own_since);
        let Some(report) = server.report else {
            let limit = f64::from(config.unreported_limit.max(1));
            return Self {
                load: own + limit * fleet.utilisation,
                limit,
                service: fleet.service,
            };
        };
        let trust = trust_of(now.saturating_sub(report.at), config.report_half_life);
        let limit = f64::from(report.limit.max(1));
        let reported = f64::from(report.in_flight + report.queued);
        Self {
            load: own + trust * reported + (1.0 - trust) * limit * fleet.utilisation,
            limit,
            service: report.service.as_secs_f64(),
        }
    }

    fn utilisation(&self) -> f64 {
        self.load / self.limit
    }

    /// Expected wait in seconds for a free place, plus the slowing by requests beside it.
    fn delay(&self, contention: f64) -> f64 {
        let excess = (self.load + 1.0 - self.limit).max(0.0);
        let beside = self.utilisation().min(1.0);
        self.service * (excess / self.limit + contention * beside)
    }
}

/// Weight from 1 (fresh) to 0 (old) of a report.
fn trust_of(age: Duration, half_life: Duration) -> f64 {
    let half_lives = age.as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE);
    0.5_f64.powf(half_lives)
}

fn expected_time(
    config: &RoutingConfig,
    server: &Candidate<'_>,
    hit: f64,
    request: &RequestFacts<'_>,
    fleet: &FleetMean,
    now: Timestamp,
) -> Duration {
    let delay = Estimate::of(config, server, fleet, now).delay(config.contention);
    let miss = 1.0 - hit.clamp(0.0, 1.0);
    server.distance * 2
        + Duration::from_secs_f64(delay)
        + Duration::from_secs_f64(request.prefill.as_secs_f64() * miss)
}

/// The first server in the prefix's ranking whose load is within the bound.
fn prefix_home(
    config: &RoutingConfig,
    candidates: &[Candidate<'_>],
    open: &[usize],
    request: &RequestFacts<'_>,
    fleet: &FleetMean,
    now: Timestamp,
) -> Option<usize> {
    let hash = request.prefix?;
    let ranking = rendezvous::ranking(hash, open.iter().map(|&index| candidates[index].id));
    let within = |index: usize| {
        let estimate = Estimate::of(config, &candidates[index], fleet, now);
        let bound = config.load_bound * fleet.utilisation * estimate.limit;
        estimate.load + 1.0 <= bound.max(1.0).ceil()
    };
    ranking
        .into_iter()
        .map(|position| open[position])
        .find(|&index| within(index))
}
