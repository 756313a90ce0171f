//! The configuration of the direct way: routes, services, client accounts and limits.

use std::{sync::Arc, time::Duration};

use jj_utils::{
    collections::FastMap,
    common_derives,
    ids::{ClientAccountId, ServiceId},
};

/// Number of a configuration; later ones are higher.
pub type CatalogVersion = u64;

/// Rank of a request, 0 first.
pub type Priority = u32;

common_derives! {copy:
    /// What may be repeated of a request.
    pub enum RequestKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once for each arrival.
        Once,
        /// A series of events that can't be continued elsewhere; runs at most once.
        Stream,
        /// A series of events that another server can continue after any of them.
        ResumableStream,
    }
}

impl RequestKind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

common_derives! {value:
    /// A service that takes part of a route's requests.
    pub struct Target {
        /// Name of the service.
        pub service: ServiceId,
        /// Part of the requests, relative to the other targets.
        pub weight: u32,
    }
}

common_derives! {value:
    /// Requests that are treated alike.
    pub struct Route {
        /// Name, for logs and metrics.
        pub name: String,
        /// Host that the request names.
        pub host: String,
        /// Beginning of the path, with a slash at both ends.
        pub path_prefix: String,
        /// Services that take the requests.
        pub targets: Vec<Target>,
        /// What may be repeated.
        pub kind: RequestKind,
        /// Longest time that a request is kept waiting for its final answer.
        pub timeout: Duration,
        /// Time within which an answer, or the first event of a stream, is on time.
        pub target_latency: Duration,
        /// Longest pause between two events of a stream that is on time; none where undeclared.
        pub gap_target: Option<Duration>,
        /// Rank among requests.
        pub priority: Priority,
        /// Most servers that one request may be sent to.
        pub max_attempts: u32,
        /// Whether requests need no key.
        pub anonymous: bool,
    }
}

/// Least time after which a caller of a stream leaves that has no event.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// The same in times that the first event aims at.
const PATIENCE_AIMS: u32 = 4;

/// The same in pauses that a stream aims at.
const PATIENCE_GAPS: u32 = 8;

impl Route {
    /// Time without an event after which a caller of a stream leaves.
    pub fn stream_patience(&self) -> Duration {
        let gaps = self.gap_target.unwrap_or_default() * PATIENCE_GAPS;
        LEAST_PATIENCE
            .max(self.target_latency * PATIENCE_AIMS)
            .max(gaps)
    }
}

common_derives! {value:
    /// How a model engine works through its requests.
    pub struct EngineSpec {
        /// Requests that an engine runs at once.
        pub slots: u32,
        /// Tokens that its memory holds.
        pub kv_capacity_tokens: u64,
        /// Token steps in one pass that produces output.
        pub steps_per_pass: u32,
        /// Time of a token step without work.
        pub idle_step: Duration,
        /// Time that each request producing output adds to a step, in seconds.
        pub step_secs_per_request: f64,
        /// Time that each 1,000 tokens of context add to a step, in seconds.
        pub step_secs_per_1k_context: f64,
        /// Prompt tokens read in a second.
        pub prefill_tokens_per_sec: f64,
        /// Time that each million pairs of tokens adds to reading, in seconds.
        pub prefill_secs_per_million_pairs: f64,
        /// Most prompt tokens read in a step.
        pub max_prefill_chunk: u32,
        /// Mean prompt length, in tokens.
        pub mean_prompt_tokens: u32,
        /// Mean answer length, in tokens.
        pub mean_answer_tokens: u32,
        /// Age of the figures that an engine reports to other instances.
        pub report_lag: Duration,
        /// Experts of the engine's group; none where engines work alone.
        pub experts: Option<ExpertSpec>,
    }
}

common_derives! {wire:
    /// Experts of a group whose ranks work in lock-step.
    #[derive(Copy, Eq)]
    pub struct ExpertSpec {
        /// Sets of layers, each with its own experts.
        pub sets: u32,
        /// Experts in a set.
        pub experts: u32,
        /// Experts of a set that one rank holds.
        pub slots: u32,
        /// Experts of a set that a rank can load in one switch.
        pub spare: u32,
        /// Size of one expert, in megabytes.
        pub megabytes: u32,
        /// Rate at which a rank loads experts, in megabits a second.
        pub load_rate: u32,
        /// Part of the work for tokens that experts do, in thousandths.
        pub share_milli: u32,
    }
}

impl ExpertSpec {
    /// Time in which a rank loads one expert.
    pub fn expert_load_time(&self) -> Duration {
        let megabits = f64::from(self.megabytes) * 8.0;
        Duration::from_secs_f64(megabits / f64::from(self.load_rate.max(1)))
    }
}

common_derives! {value:
    /// One service.
    pub struct ServiceSpec {
        /// Name.
        pub name: ServiceId,
        /// Path of its health check.
        pub health_path: String,
        /// Connections that one of its servers takes from all processes together.
        pub max_connections: u32,
        /// Time for which a started server is cold.
        pub cold_duration: Duration,
        /// Requests a second that a cold server bears; zero where it is never cold.
        pub cold_requests_per_sec: f64,
        /// How its engines work, for model services.
        pub engine: Option<EngineSpec>,
    }
}

common_derives! {copy:
    /// Bounds on what callers send.
    pub struct TrafficLimits {
        /// Bytes of a request's head.
        pub max_header_bytes: usize,
        /// Bytes of a request's body.
        pub max_body_bytes: usize,
        /// Time in which a request's head has to arrive.
        pub header_timeout: Duration,
        /// Time for which a connection may be idle.
        pub idle_timeout: Duration,
    }
}

impl Default for TrafficLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

common_derives! {value:
    /// One client account.
    pub struct Account {
        /// Name.
        pub name: ClientAccountId,
        /// Rank of its requests; the route's where absent.
        pub priority: Option<Priority>,
    }
}

/// One configuration as a whole.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Its number.
    pub version: CatalogVersion,
    /// Routes in no order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: FastMap<ServiceId, Arc<ServiceSpec>>,
    /// Bounds on what callers send.
    pub limits: TrafficLimits,
    /// Accounts by key; none where requests need no key.
    pub keys: Option<FastMap<String, Arc<Account>>>,
}

/// Why a request is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route of this host begins the path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// What a request is allowed to do.
#[derive(Debug, Clone)]
pub struct AuthorizedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// Its account; none where requests need no key.
    pub account: Option<Arc<Account>>,
}

impl AuthorizedRequest {
    /// Rank of the request: the account's goes before the route's.
    pub fn priority(&self) -> Priority {
        let account = self.account.as_ref().and_then(|it| it.priority);
        account.unwrap_or(self.route.priority)
    }
}

impl Catalog {
    /// The route of a request: among those of its host, the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        });
        matching.max_by_key(|route| route.path_prefix.len())
    }

    /// Whether a request with this host, path and key is allowed.
    ///
    /// # Errors
    /// When no route takes it, or its key is unknown and the route needs one.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<AuthorizedRequest, Denied> {
        let route = Arc::clone(self.find_route(host, path).ok_or(Denied::NoRoute)?);
        let Some(keys) = &self.keys else {
            return Ok(AuthorizedRequest {
                route,
                account: None,
            });
        };
        let account = key.and_then(|key| keys.get(key)).cloned();
        if account.is_none() && !route.anonymous {
            return Err(Denied::UnknownKey);
        }
        Ok(AuthorizedRequest { route, account })
    }

    /// Shortest pause between events that a route to a service aims at.
    pub fn min_gap_target(&self, service: &str) -> Option<Duration> {
        let leads = |route: &&Arc<Route>| route.targets.iter().any(|it| it.service == service);
        self.routes
            .iter()
            .filter(leads)
            .filter_map(|it| it.gap_target)
            .min()
    }

    /// The service that takes a request of a route; `draw` is a random number.
    pub fn pick_service(route: &Route, draw: u64) -> Option<&ServiceId> {
        let total: u64 = route.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &route.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
