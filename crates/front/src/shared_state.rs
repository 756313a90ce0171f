//! State shared by the tasks of an entry, all of which run on one thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use jj_adapter::headers;
use jj_direct::{
    body_budget::BodyBudget,
    header_codec::{HeaderCodec, ResponseHeaders},
    instance_settings::InstanceSettings,
    pool::{Pool, PoolConfig},
    response_budget::ResponseBudget,
};
use jj_news::LeaveNotice;
use jj_policy::{
    caller_retries::{CallerRetryConfig, CallerRetryDetector},
    crash_suspects::CrashSuspects,
    gossip::{EntryState, IncarnationTag},
    group_members::GroupTag,
    outage::OutageForecast,
    pass_model::{PassForecast, PassSpec},
    placement::{self, PlacementConfig, ServerCandidate},
    process_limits::ProcessLimits,
    rate_limits::RateStatement,
    rate_share,
    server_health::AttemptOutcome,
    server_list::{ServerIncarnation, ServerRecord, StorePosition},
    server_notices::ServerAccess,
    shutdown::Shutdown,
    windowed_retry_budget::{WindowedRetryBudget, WindowedRetryConfig},
};
use jj_utils::{
    clock::{SharedClock, Timestamp},
    collections::FastMap,
    events,
    ids::{BackendServerId, Incarnation},
    log_event,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;

use crate::{
    crash_detector::{self, CrashDetector},
    entry_shutdown::EntryShutdown,
    load_tracker::LoadTracker,
    peers::Peers,
    prompt_guard, rate_limits,
    request_queues::RequestQueues,
    store_replica::StoreReplica,
};

/// Requests in flight per slot from which a model server gets no more: the engine's own queue takes
/// no account of deadlines or of other servers with capacity.
const MODEL_REQUESTS_PER_SLOT: f64 = 1.0;

/// Requests in flight per slot from which a plain server gets no more; above 1, since these
/// requests are short.
const PLAIN_REQUESTS_PER_SLOT: f64 = 2.0;

/// State of one entry process.
pub struct SharedState {
    /// Settings in force; replaced when the settings file changes.
    settings: RefCell<Rc<InstanceSettings>>,
    /// Source of the current time.
    pub clock: SharedClock,
    /// Random number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// Reads and writes the deployment's HTTP headers.
    pub header_codec: HeaderCodec,
    /// Local copy of the platform's store.
    pub replica: RefCell<StoreReplica>,
    /// Membership of the other entries, and how recent each one's copy of the store is.
    pub peers: RefCell<Peers>,
    /// Requests in flight, health and admission state of each server and group.
    pub loads: RefCell<LoadTracker>,
    /// Pool of connections to servers.
    pub pool: Pool,
    /// Memory for bodies of requests.
    pub bodies: BodyBudget,
    /// Memory for responses that are buffered.
    pub responses: ResponseBudget,
    /// Whether this entry is starting, accepts requests or is about to stop.
    pub entry_state: Cell<EntryState>,
    /// Shutdown of this entry, and what it needs to know of requests.
    pub shutdown: EntryShutdown,
    /// Signals the dispatcher that a server may have capacity for a queued request.
    pub capacity_changed: Notify,
    /// Requests that wait for a server with capacity.
    pub request_queues: RefCell<RequestQueues<Reservation>>,
    /// Signals the store task to check at once whether a peer or the store has newer data.
    pub store_read_requested: Notify,
    /// Signals the datagram task that there is something new to send to other entries.
    pub news_to_send: Notify,
    /// Notices of leaving servers that have not been sent to other entries yet.
    pub unsent_leaves: RefCell<Vec<LeaveNotice>>,
    /// Changes of the rates that servers accept, not sent to other entries yet.
    pub unsent_rates: RefCell<Vec<RateStatement>>,
    /// What is known of requests that were lost at servers.
    pub crash_detector: CrashDetector,
    /// Requests and parts of prompts that are suspected to crash servers.
    pub suspects: RefCell<CrashSuspects>,
    /// Wakes the requests that wait for a change of the suspects.
    pub suspects_changed: Notify,
    /// When this process no longer waits for what other entries know of suspects.
    pub knows_suspects_at: Cell<Timestamp>,
    /// Whether other entries have to be told at once about the suspects.
    pub has_unsent_suspects: Cell<bool>,
    /// Limits the share of requests that are sent again.
    retry_budget: RefCell<WindowedRetryBudget>,
    /// Learns for each route how much time first tries have left, to detect retries by callers.
    retry_detectors: RefCell<FastMap<String, CallerRetryDetector>>,
    /// When a request was last rejected without having run.
    last_rejection: Cell<Option<Timestamp>>,
    rng: RefCell<Pcg64Mcg>,
}

/// When servers that limit what they accept will accept a request.
pub enum NextOpening {
    /// A server accepts any rate now.
    Now,
    /// At this time; `None` if this process may send to none of them.
    Later(Option<Timestamp>),
}

/// One request counted as in flight at a server; it is uncounted on drop.
pub struct Reservation {
    /// The reserved server.
    pub server: Rc<ServerRecord>,
    shared: Rc<SharedState>,
}

/// Usable servers of a service that form one group.
struct UsableGroup<'a> {
    tag: GroupTag,
    servers: Vec<&'a ServerRecord>,
    /// Parameters of its passes; `None` if the servers form no engine group.
    spec: Option<PassSpec>,
}

/// Returns the usable servers of a service by group. Unreachable servers don't count as ranks of a
/// group, since the store lists a server for a while after it has ended.
fn usable_groups<'a>(
    replica: &'a StoreReplica,
    loads: &LoadTracker,
    now: Timestamp,
    service: &str,
) -> Vec<UsableGroup<'a>> {
    let mut groups: Vec<UsableGroup> = Vec::new();
    for record in replica.usable_servers(service) {
        let tag = loads.group_of(service, &record.id);
        match groups.iter_mut().find(|it| it.tag == tag) {
            Some(group) => group.servers.push(record),
            None => groups.push(UsableGroup {
                tag,
                servers: vec![record],
                spec: None,
            }),
        }
    }
    for group in &mut groups {
        let servers = group.servers.iter();
        let reached = servers.filter(|it| !loads.is_unreachable(&it.id));
        let spec = replica.pass_spec(service, reached.count());
        let slowdown = loads.slowdown(now, service, group.tag);
        group.spec = spec.map(|it| it.with_slowdown(slowdown));
    }
    groups
}

/// Returns whether a group can take one more request, whose prompt has `prompt` tokens: it works and
/// its passes stay short enough. Servers that form no engine group always can.
fn has_room(
    loads: &mut LoadTracker,
    now: Timestamp,
    service: &str,
    group: &UsableGroup,
    prompt: u32,
) -> bool {
    let Some(spec) = &group.spec else {
        return true;
    };
    if loads.outage(now, service, group.tag).is_some() {
        return false;
    }
    let requests = total_requests(loads, &group.servers);
    let forecast = loads.forecast(now, (service, group.tag), spec, requests, prompt);
    forecast.is_none_or(|it| it.has_room)
}

/// Returns the number of requests in flight at the given servers, over all entries.
fn total_requests(loads: &LoadTracker, records: &[&ServerRecord]) -> u32 {
    let requests = records
        .iter()
        .map(|it| loads.local_requests(&it.id) + loads.remote_requests(&it.id));
    requests.sum()
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shared
            .loads
            .borrow_mut()
            .remove_request(&self.server.id);
        self.shared.capacity_changed.notify_one();
        self.shared.news_to_send.notify_one();
    }
}

impl Reservation {
    /// Records the result of the attempt in the health of the server.
    pub fn record_outcome(&self, outcome: AttemptOutcome) {
        let now = self.shared.clock.now();
        self.shared
            .loads
            .borrow_mut()
            .record_outcome(now, &self.server.id, outcome);
    }

    /// Returns whether the server has ended, announced or not, so that a response that only the end of its
    /// connection ends may not be whole.
    pub async fn has_server_ended(&self) -> bool {
        crash_detector::has_ended(&self.shared, &self.server).await
    }

    /// Returns whether the server has crashed.
    pub async fn has_server_crashed(&self) -> bool {
        let sign = crash_detector::crash_sign(&self.shared, &self.server);
        sign.await.is_some()
    }
}

/// Returns the limits of connections to servers.
fn pool_config(limits: &ProcessLimits) -> PoolConfig {
    PoolConfig {
        max_connections: limits.server_connections(),
        ..PoolConfig::default()
    }
}

impl SharedState {
    /// Returns the initial state, without configuration, servers or peers.
    pub fn new(settings: InstanceSettings, clock: SharedClock) -> Rc<Self> {
        let incarnation: Incarnation = rand::random();
        Rc::new(Self {
            peers: RefCell::new(Peers::new(&settings, incarnation as IncarnationTag)),
            loads: RefCell::new(LoadTracker::new(incarnation as IncarnationTag)),
            incarnation,
            header_codec: headers::HEADER_CODEC,
            replica: RefCell::default(),
            pool: Pool::new(pool_config(&settings.limits), clock.clone()),
            bodies: BodyBudget::new(settings.limits.body_bytes(), clock.clone()),
            responses: ResponseBudget::new(settings.limits.response_bytes()),
            entry_state: Cell::new(EntryState::Starting),
            shutdown: EntryShutdown::default(),
            capacity_changed: Notify::new(),
            request_queues: RefCell::default(),
            store_read_requested: Notify::new(),
            news_to_send: Notify::new(),
            unsent_leaves: RefCell::default(),
            unsent_rates: RefCell::default(),
            crash_detector: CrashDetector::default(),
            suspects: RefCell::default(),
            suspects_changed: Notify::new(),
            knows_suspects_at: Cell::new(prompt_guard::max_wait_for_news(&settings)),
            has_unsent_suspects: Cell::default(),
            retry_budget: RefCell::default(),
            retry_detectors: RefCell::default(),
            last_rejection: Cell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(rand::random())),
            settings: RefCell::new(Rc::new(settings)),
            clock,
        })
    }

    /// Brings new settings into force.
    pub fn apply_settings(&self, settings: Rc<InstanceSettings>) {
        let limits = settings.limits;
        self.bodies.set_capacity(limits.body_bytes());
        self.responses.set_capacity(limits.response_bytes());
        self.pool.set_max_connections(limits.server_connections());
        *self.settings.borrow_mut() = settings;
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<InstanceSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the position of the store up to which this process has read it.
    pub fn store_position(&self) -> StorePosition {
        self.replica.borrow().position.unwrap_or_default()
    }

    /// Draws a random number.
    pub fn draw(&self) -> u64 {
        self.rng.borrow_mut().next_u64()
    }

    /// Reserves the best server of a service that has capacity, in an engine group that works; `None`
    /// if there is none. `tried` names servers to leave out, `prompt` is the request's
    /// number of prompt tokens.
    pub fn reserve_server(
        self: &Rc<Self>,
        service: &str,
        tried: &[BackendServerId],
        prompt: u32,
    ) -> Option<Reservation> {
        let draw = self.draw();
        let now = self.clock.now();
        let domain = self.settings().domain.clone();
        let replica = self.replica.borrow();
        let mut groups = usable_groups(&replica, &self.loads.borrow(), now, service);
        let is_model = groups.iter().any(|it| it.spec.is_some());
        let mut loads = self.loads.borrow_mut();
        groups.retain(|it| has_room(&mut loads, now, service, it, prompt));
        let records: Vec<&ServerRecord> = groups.into_iter().flat_map(|it| it.servers).collect();
        let drain = self.settings().objectives.max_drain;
        let mut candidates = Vec::with_capacity(records.len());
        for record in &records {
            let access = loads
                .notices
                .access(now, &record.id, record.incarnation, drain);
            if !access.is_allowed() {
                continue;
            }
            candidates.push(ServerCandidate {
                id: record.id.clone(),
                is_same_domain: record.domain == domain,
                slots: record.slots,
                local_requests: loads.local_requests(&record.id),
                remote_requests: loads.remote_requests(&record.id),
                is_avoided: access == ServerAccess::LastResort || loads.is_avoided(now, &record.id),
                failed_part: loads.failed_part(now, &record.id),
                allowance: rate_limits::allowance(self, &replica, &mut loads, record),
                was_tried: tried.contains(&record.id),
            });
        }
        let config = match is_model {
            true => PlacementConfig {
                max_load: MODEL_REQUESTS_PER_SLOT,
                // The ranks of a group fail together, and have to be loaded evenly.
                failure_penalty: 0.0,
                ..PlacementConfig::default()
            },
            false => PlacementConfig {
                max_load: PLAIN_REQUESTS_PER_SLOT,
                ..PlacementConfig::default()
            },
        };
        let chosen = placement::choose_server(&config, &candidates, draw)?;
        let record = records.iter().find(|it| it.id == chosen.id)?;
        let server = Rc::new((*record).clone());
        loads.add_request(&server.id);
        if is_model {
            loads.record_prompt_sent(now, service, &server.id, prompt);
        }
        drop(loads);
        self.news_to_send.notify_one();
        Some(Reservation {
            server,
            shared: Rc::clone(self),
        })
    }

    /// Forecasts the pass lengths with one more request in the least loaded engine group of a service,
    /// and returns the requests in flight there; `None` if the servers form no group or nothing is
    /// known of it.
    pub fn forecast(&self, service: &str, prompt: u32) -> Option<(PassForecast, u32)> {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        let loads = self.loads.borrow();
        let groups = usable_groups(&replica, &loads, now, service);
        let with_requests = groups
            .iter()
            .map(|it| (it, total_requests(&loads, &it.servers)));
        let (group, requests) = with_requests.min_by_key(|(_, requests)| *requests)?;
        let spec = group.spec.as_ref()?;
        let forecast = loads.forecast(now, (service, group.tag), spec, requests, prompt)?;
        Some((forecast, requests))
    }

    /// Returns the age and the expected rest of the outage of a service; `None` if one of its groups
    /// works.
    pub fn outage(&self, service: &str) -> Option<OutageForecast> {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        let groups = usable_groups(&replica, &self.loads.borrow(), now, service);
        let usable: Vec<GroupTag> = groups.iter().map(|it| it.tag).collect();
        let mut loads = self.loads.borrow_mut();
        loads.service_outage(now, service, &usable)
    }

    /// Estimates the time that a response of `tokens` tokens takes at the current load of a
    /// service; `None` if its servers form no engine group.
    pub fn estimated_response_time(&self, service: &str, tokens: u32) -> Option<Duration> {
        let replica = self.replica.borrow();
        let loads = self.loads.borrow();
        let groups = usable_groups(&replica, &loads, self.clock.now(), service);
        let times = groups.iter().filter_map(|it| {
            let spec = it.spec.as_ref()?;
            Some(loads.estimated_response_time((service, it.tag), spec, tokens))
        });
        times.min()
    }

    /// Records the time between two events of a stream from a server, from which the pass length is estimated.
    pub fn record_event_gap(&self, service: &str, server: &str, gap: Duration) {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        let mut loads = self.loads.borrow_mut();
        let tag = loads.group_of(service, server);
        let groups = usable_groups(&replica, &loads, now, service);
        let is_model = groups.iter().any(|it| it.spec.is_some());
        if !is_model {
            return;
        }
        loads.record_stream_event(now, service, tag);
        let Some((spec, servers)) = groups
            .iter()
            .find(|it| it.tag == tag)
            .and_then(|it| Some((it.spec.as_ref()?, &it.servers)))
        else {
            return;
        };
        let requests = total_requests(&loads, servers);
        if loads.record_event_gap(now, (service, tag), spec, gap, requests) {
            self.capacity_changed.notify_one();
        }
    }

    /// Returns whether a server may get new requests, according to its own notices.
    pub fn server_access(&self, server: &ServerRecord) -> ServerAccess {
        let now = self.clock.now();
        let drain = self.settings().objectives.max_drain;
        let loads = self.loads.borrow();
        loads
            .notices
            .access(now, &server.id, server.incarnation, drain)
    }

    /// Returns whether any server of a service may get requests now or after a pause.
    pub fn has_usable_server(&self, service: &str) -> bool {
        let replica = self.replica.borrow();
        let mut usable = replica.usable_servers(service);
        usable.any(|it| self.server_access(it) != ServerAccess::Closed)
    }

    /// Returns when a request behind `ahead` others may be sent to a server of a service, as far as
    /// the servers limit what they accept.
    pub fn next_opening(&self, service: &str, ahead: usize) -> NextOpening {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        let loads = self.loads.borrow();
        let mut first_pause_end = None;
        let mut limited = Vec::new();
        for server in replica.usable_servers(service) {
            match self.server_access(server) {
                ServerAccess::Open | ServerAccess::LastResort => {
                    match rate_limits::request_times(&loads, now, server) {
                        Some(times) => limited.extend(times),
                        None => return NextOpening::Now,
                    }
                }
                ServerAccess::Paused { until } => {
                    first_pause_end = Some(first_pause_end.map_or(until, |it| until.min(it)))
                }
                ServerAccess::Closed => {}
            }
        }
        let allowed = rate_share::time_of_request(&limited, ahead);
        NextOpening::Later([first_pause_end, allowed].into_iter().flatten().min())
    }

    /// Applies a server's notices in a response: that it is leaving, or a pause that it asks for.
    pub fn apply_notices(&self, server: &ServerRecord, facts: &ResponseHeaders) {
        if facts.is_leaving {
            self.record_leaving_server(&server.id, server.incarnation, "the server itself");
        }
        let Some(pause) = facts.retry_after else {
            return;
        };
        let now = self.clock.now();
        let mut loads = self.loads.borrow_mut();
        let until = loads
            .notices
            .record_pause(now, &server.id, server.incarnation, pause);
        metrics::counter!("jujube_server_notices_total", "notice" => "pause").increment(1);
        log_event!(
            events::SERVER_PAUSES,
            server = server.id.as_str(), service = server.service.as_str(),
            asked_ms = pause.as_millis() as u64,
            pause_ms = until.saturating_sub(now).as_millis() as u64;
            "server has asked for a pause"
        );
    }

    /// Records that a server is leaving, as reported by `by`; returns whether that was new. A new
    /// notice is passed on to other entries.
    pub fn record_leaving_server(
        &self,
        server: &str,
        incarnation: Option<ServerIncarnation>,
        by: &str,
    ) -> bool {
        let now = self.clock.now();
        let is_new = self
            .loads
            .borrow_mut()
            .notices
            .record_leave(now, server, incarnation);
        if !is_new {
            return false;
        }
        metrics::counter!("jujube_server_notices_total", "notice" => "leave").increment(1);
        log_event!(
            events::SERVER_LEAVES,
            server = server, life = incarnation.unwrap_or_default(), by = by; "server is leaving"
        );
        self.unsent_leaves.borrow_mut().push(LeaveNotice {
            server: server.to_owned(),
            incarnation,
        });
        self.news_to_send.notify_one();
        true
    }

    /// Returns whether a request is probably a retry by its caller, judged by the time that it has
    /// left compared with other requests of the route; records it for later decisions.
    pub fn detect_caller_retry(&self, route: &str, left: Duration) -> bool {
        let now = self.clock.now();
        let mut detectors = self.retry_detectors.borrow_mut();
        if !detectors.contains_key(route) {
            detectors.insert(route.to_owned(), CallerRetryDetector::default());
        }
        let config = CallerRetryConfig::default();
        let detector = detectors.get_mut(route);
        detector.is_some_and(|it| it.observe(&config, now, self.last_rejection.get(), left))
    }

    /// Begins the shutdown of this entry, which ends after `grace`, and has the other entries told at
    /// once.
    pub fn begin_shutdown(&self, grace: Duration) -> Shutdown {
        self.entry_state.set(EntryState::Leaving);
        self.news_to_send.notify_one();
        self.shutdown.begin(self.clock.now(), grace)
    }

    /// Records that a request was rejected that its caller may retry.
    pub fn record_rejection(&self) {
        self.last_rejection.set(Some(self.clock.now()));
    }

    /// Counts an authorized request, which adds to the retry budget.
    pub fn count_request(&self) {
        let config = self.retry_config();
        self.retry_budget
            .borrow_mut()
            .record_request(&config, self.clock.now());
    }

    /// Takes one retry out of the retry budget; returns false if this process's share is used up.
    pub fn spend_retry(&self) -> bool {
        let config = self.retry_config();
        self.retry_budget
            .borrow_mut()
            .try_retry(&config, self.clock.now())
    }

    /// Returns the number of live entries, including this one.
    fn count_entries(&self) -> usize {
        self.peers.borrow().count_alive() + 1
    }

    /// Returns this process's share of the retry budget in the settings.
    fn retry_config(&self) -> WindowedRetryConfig {
        let settings = self.settings();
        let promises = &settings.objectives;
        WindowedRetryConfig::for_process(
            promises.retry_window,
            promises.retry_ratio,
            promises.retry_slack,
            self.count_entries(),
        )
    }

    /// Returns the time since `then`, or zero if `then` is later than now.
    pub fn elapsed_since(&self, then: Timestamp) -> Duration {
        self.clock.now().saturating_sub(then)
    }
}
