//! Configuration of the direct data path: routes, services, client accounts and limits.

use std::{sync::Arc, time::Duration};

use jj_utils::{
    collections::FastMap,
    common_derives,
    ids::{ClientAccountId, ServiceId},
};

/// Version number of a configuration; later ones are higher.
pub type CatalogVersion = u64;

/// Priority of a request; 0 is the highest.
pub type Priority = u32;

common_derives! {copy:
    /// How often a request may run, and whether its response is a stream.
    pub enum RequestKind {
        /// May run more than once.
        Idempotent,
        /// Runs at most once per received request.
        Once,
        /// Event stream that another server can't continue; runs at most once.
        Stream,
        /// Event stream that another server can continue after any event.
        ResumableStream,
    }
}

impl RequestKind {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

common_derives! {value:
    /// Service that takes a part of a route's requests.
    pub struct Target {
        /// Name of the service.
        pub service: ServiceId,
        /// Weight relative to the route's other targets.
        pub weight: u32,
    }
}

common_derives! {value:
    /// Rules for the requests with a host and a path prefix.
    pub struct Route {
        /// Name for logs and metrics.
        pub name: String,
        /// Host header of the requests.
        pub host: String,
        /// Path prefix, with a slash at both ends.
        pub path_prefix: String,
        /// Services that take the requests.
        pub targets: Vec<Target>,
        /// How often a request may run, and whether its response is a stream.
        pub kind: RequestKind,
        /// Maximum time until the complete response.
        pub timeout: Duration,
        /// Time within which a response, or the first event of a stream, is on time.
        pub target_latency: Duration,
        /// Maximum gap between two events of a stream that is on time, if declared.
        pub gap_target: Option<Duration>,
        /// Priority of the requests.
        pub priority: Priority,
        /// Maximum number of servers that a request may be sent to.
        pub max_attempts: u32,
        /// Whether requests need no API key.
        pub anonymous: bool,
    }
}

/// Minimum time without an event after which the caller of a stream disconnects.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// The same as a multiple of the target latency.
const PATIENCE_TARGET_LATENCIES: u32 = 4;

/// The same as a multiple of the gap target.
const PATIENCE_GAP_TARGETS: u32 = 8;

impl Route {
    /// Returns the time without an event after which the caller of a stream disconnects.
    pub fn stream_patience(&self) -> Duration {
        let gaps = self.gap_target.unwrap_or_default() * PATIENCE_GAP_TARGETS;
        MIN_STREAM_PATIENCE
            .max(self.target_latency * PATIENCE_TARGET_LATENCIES)
            .max(gaps)
    }
}

common_derives! {value:
    /// Capacity and speed of the engines of a model service.
    pub struct EngineSpec {
        /// Requests that an engine runs at once.
        pub slots: u32,
        /// KV cache capacity, in tokens.
        pub kv_capacity_tokens: u64,
        /// Token steps in a pass that produces output.
        pub steps_per_pass: u32,
        /// Time of a token step without work.
        pub idle_step: Duration,
        /// Time that each request in the decode phase adds to a step, in seconds.
        pub step_secs_per_request: f64,
        /// Time that each 1,000 tokens of context add to a step, in seconds.
        pub step_secs_per_1k_context: f64,
        /// Prompt tokens read per second.
        pub prefill_tokens_per_sec: f64,
        /// Time that each million token pairs adds to prefill, in seconds.
        pub prefill_secs_per_million_pairs: f64,
        /// Maximum number of prompt tokens read in a step.
        pub max_prefill_chunk: u32,
        /// Mean prompt length, in tokens.
        pub mean_prompt_tokens: u32,
        /// Mean response length, in tokens.
        pub mean_answer_tokens: u32,
        /// Age of the figures that an engine reports to other instances.
        pub report_lag: Duration,
        /// Experts of the engine's group; `None` if engines work alone.
        pub experts: Option<ExpertSpec>,
    }
}

common_derives! {wire:
    /// Experts of a group whose ranks work in lock-step.
    #[derive(Copy, Eq)]
    pub struct ExpertSpec {
        /// Sets of layers, each with its own experts.
        pub sets: u32,
        /// Experts per set.
        pub experts: u32,
        /// Experts of a set that one rank holds.
        pub slots: u32,
        /// Experts of a set that a rank can load in one switch.
        pub spare: u32,
        /// Size of one expert, in megabytes.
        pub megabytes: u32,
        /// Rate at which a rank loads experts, in megabits per second.
        pub load_rate: u32,
        /// Part of the work for tokens that experts do, in thousandths.
        pub share_milli: u32,
    }
}

impl ExpertSpec {
    /// Returns the time in which a rank loads one expert.
    pub fn expert_load_time(&self) -> Duration {
        let megabits = f64::from(self.megabytes) * 8.0;
        Duration::from_secs_f64(megabits / f64::from(self.load_rate.max(1)))
    }
}

common_derives! {value:
    /// Configuration of one service.
    pub struct ServiceSpec {
        /// Name of the service.
        pub name: ServiceId,
        /// Path of the health check.
        pub health_path: String,
        /// Maximum number of connections to one of its servers, over all processes.
        pub max_connections: u32,
        /// Time for which a server is cold after its start.
        pub cold_duration: Duration,
        /// Requests per second that a cold server can take; zero if servers are never cold.
        pub cold_requests_per_sec: f64,
        /// Engines of a model service.
        pub engine: Option<EngineSpec>,
    }
}

common_derives! {copy:
    /// Limits on requests and connections.
    pub struct TrafficLimits {
        /// Maximum size of a request's head, in bytes.
        pub max_header_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub max_body_bytes: usize,
        /// Maximum time to receive a request's head.
        pub header_timeout: Duration,
        /// Maximum time for which a connection may be idle.
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
    /// Client account.
    pub struct Account {
        /// Name of the account.
        pub name: ClientAccountId,
        /// Priority of its requests; that of the route if absent.
        pub priority: Option<Priority>,
    }
}

/// Complete configuration of one version.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    /// Version number.
    pub version: CatalogVersion,
    /// Routes in no order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: FastMap<ServiceId, Arc<ServiceSpec>>,
    /// Limits on requests and connections.
    pub limits: TrafficLimits,
    /// Accounts by API key; `None` if requests need no key.
    pub keys: Option<FastMap<String, Arc<Account>>>,
}

/// Reason for which a request is not authorized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route of the host matches the path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// Authorized request with its route and account.
#[derive(Debug, Clone)]
pub struct AuthorizedRequest {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Account of the request; `None` if it needs no key.
    pub account: Option<Arc<Account>>,
}

impl AuthorizedRequest {
    /// Returns the priority of the request; that of the account overrides that of the route.
    pub fn priority(&self) -> Priority {
        let account = self.account.as_ref().and_then(|it| it.priority);
        account.unwrap_or(self.route.priority)
    }
}

impl Catalog {
    /// Returns the route of the host with the longest prefix of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        });
        matching.max_by_key(|route| route.path_prefix.len())
    }

    /// Authorizes a request with this host, path and API key.
    ///
    /// # Errors
    /// Returns an error if no route matches, or if the key is unknown and the route needs one.
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

    /// Returns the smallest gap target of all routes to a service.
    pub fn min_gap_target(&self, service: &str) -> Option<Duration> {
        let has_target = |route: &&Arc<Route>| route.targets.iter().any(|it| it.service == service);
        self.routes
            .iter()
            .filter(has_target)
            .filter_map(|it| it.gap_target)
            .min()
    }

    /// Picks the service for a request of a route by weight; `draw` is a random number.
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
