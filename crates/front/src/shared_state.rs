//! State that the tasks of an entry share. All of them run on one thread.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use jj_adapter::headers;
use jj_direct::{
    dialect::{AnswerFacts, Dialect},
    instance::InstanceSettings,
    pool::{Pool, PoolConfig},
};
use jj_news::LeaveNews;
use jj_policy::{
    cold_rate,
    gossip::{LifeTag, Standing},
    outage::Outlook,
    pass_model::{Forecast, PassSpec},
    placement::{self, Candidate, PlacementConfig},
    repeat_budget::{RepeatBudget, RepeatConfig},
    returning::{Returning, ReturningConfig},
    server_health::Sign,
    server_list::{ServerLife, ServerRecord},
    server_notices::Access,
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
    load_tracker::LoadTracker, peers::Peers, request_queues::RequestQueues,
    store_replica::StoreReplica,
};

/// Requests at a model server, over its slots, from which it has no room: an engine's own queue
/// knows neither deadlines nor the other servers.
const ENGINE_DEPTH: f64 = 1.0;

/// Requests at a plain server, over its slots, from which it has no room; their work is short.
const PLAIN_DEPTH: f64 = 2.0;

/// State of one process.
pub struct SharedState {
    /// What the settings file says.
    pub settings: RefCell<Rc<InstanceSettings>>,
    /// Time.
    pub clock: SharedClock,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Headers of callers and servers.
    pub dialect: Dialect,
    /// What the store says.
    pub replica: RefCell<StoreReplica>,
    /// Other entries.
    pub peers: RefCell<Peers>,
    /// Requests in flight.
    pub loads: RefCell<LoadTracker>,
    /// Connections to servers.
    pub pool: Pool,
    /// Whether this entry takes requests.
    pub entry_state: Cell<Standing>,
    /// There may be room for requests that wait.
    pub capacity_changed: Notify,
    /// Requests that wait for room.
    pub request_queues: RefCell<RequestQueues<Reservation>>,
    /// The store should be looked at sooner than planned.
    pub store_read_requested: Notify,
    /// Requests in flight have changed, or there is something to tell other entries.
    pub news_to_send: Notify,
    /// Servers that leave, of which other entries were not told yet.
    pub unsent_leaves: RefCell<Vec<LeaveNews>>,
    budget: RefCell<RepeatBudget>,
    /// How long first callers of each route wait.
    returning: RefCell<FastMap<String, Returning>>,
    /// When a request was last rejected.
    rejected: Cell<Option<Timestamp>>,
    random: RefCell<Pcg64Mcg>,
}

/// A place at a server, given back when dropped.
pub struct Reservation {
    /// The server.
    pub server: Rc<ServerRecord>,
    shared: Rc<SharedState>,
}

/// Servers of a service that may take requests, and the passes of the group that they form, where
/// they form one. Servers that can't be reached take no part in it: their entries outlive them for a
/// while.
fn servers_of<'a>(
    replica: &'a StoreReplica,
    loads: &LoadTracker,
    now: Timestamp,
    service: &str,
) -> (Vec<&'a ServerRecord>, Option<PassSpec>) {
    let records: Vec<&ServerRecord> = replica.usable_servers(service).collect();
    let reached = records.iter().filter(|it| !loads.is_unreachable(&it.id));
    let spec = replica.pass_spec(service, reached.count());
    let spec = spec.map(|it| it.slowed(loads.slowdown(now, service)));
    (records, spec)
}

/// Requests at all servers of a service.
fn all_uses(loads: &LoadTracker, records: &[&ServerRecord]) -> u32 {
    let uses = records
        .iter()
        .map(|it| loads.local_requests(&it.id) + loads.remote_requests(&it.id));
    uses.sum()
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
    /// Takes in how the attempt at this server ended.
    pub fn record_outcome(&self, sign: Sign) {
        let now = self.shared.clock.now();
        self.shared
            .loads
            .borrow_mut()
            .record_outcome(now, &self.server.id, sign);
    }
}

impl SharedState {
    /// State of a process that knows nothing yet.
    pub fn new(settings: InstanceSettings, clock: SharedClock) -> Rc<Self> {
        let incarnation: Incarnation = rand::random();
        Rc::new(Self {
            peers: RefCell::new(Peers::new(&settings, incarnation as LifeTag)),
            loads: RefCell::new(LoadTracker::new(incarnation as LifeTag)),
            settings: RefCell::new(Rc::new(settings)),
            incarnation,
            dialect: headers::DIALECT,
            replica: RefCell::default(),
            pool: Pool::new(PoolConfig::default(), clock.clone()),
            entry_state: Cell::new(Standing::Starting),
            capacity_changed: Notify::new(),
            request_queues: RefCell::default(),
            store_read_requested: Notify::new(),
            news_to_send: Notify::new(),
            unsent_leaves: RefCell::default(),
            budget: RefCell::default(),
            returning: RefCell::default(),
            rejected: Cell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(rand::random())),
            clock,
        })
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<InstanceSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// A random number.
    pub fn draw(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }

    /// A server of a service with room, if there is one.
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
        let (records, spec) = servers_of(&replica, &self.loads.borrow(), now, service);
        let is_model = spec.is_some();
        if is_model && self.outage(service).is_some() {
            return None;
        }
        let mut loads = self.loads.borrow_mut();
        if let Some(spec) = &spec {
            let requests = all_uses(&loads, &records);
            let forecast = loads.forecast(now, service, spec, requests, prompt);
            if forecast.is_some_and(|it| !it.has_room) {
                return None;
            }
        }
        let drain = self.settings().promises.drain;
        let mut candidates = Vec::with_capacity(records.len());
        for record in &records {
            let access = loads.notices.access(now, &record.id, record.born, drain);
            if !access.is_allowed() {
                continue;
            }
            candidates.push(Candidate {
                id: record.id.clone(),
                is_near: record.domain == domain,
                slots: record.slots,
                own: loads.local_requests(&record.id),
                others: loads.remote_requests(&record.id),
                avoid: access == Access::Reluctant || loads.is_avoided(now, &record.id),
                cold_room: self.cold_room(&replica, &mut loads, &record.id),
                tried: tried.contains(&record.id),
            });
        }
        let config = PlacementConfig {
            depth: if is_model { ENGINE_DEPTH } else { PLAIN_DEPTH },
            ..PlacementConfig::default()
        };
        let chosen = placement::choose(&config, &candidates, draw)?;
        let record = records.iter().find(|it| it.id == chosen.id)?;
        let server = Rc::new((*record).clone());
        loads.add_request(&server.id);
        if is_model {
            loads.record_prompt_sent(now, service, prompt);
        }
        drop(loads);
        self.news_to_send.notify_one();
        Some(Reservation {
            server,
            shared: Rc::clone(self),
        })
    }

    /// Requests that this process may send to a server now; none where it is warm.
    fn cold_room(
        &self,
        replica: &StoreReplica,
        loads: &mut LoadTracker,
        server: &str,
    ) -> Option<u32> {
        let now = self.clock.now();
        let Some(rate) = replica.cold_requests_per_sec(now, server) else {
            loads.clear_cold_allowance(server);
            return None;
        };
        let rate = cold_rate::part(rate, self.processes());
        Some(loads.cold_allowance(now, server, rate, self.draw()))
    }

    /// What one more request would do to the group of a service now, and the requests at work there;
    /// none where no group works.
    pub fn forecast(&self, service: &str, prompt: u32) -> Option<(Forecast, u32)> {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        let loads = self.loads.borrow();
        let (records, spec) = servers_of(&replica, &loads, now, service);
        let spec = spec?;
        let requests = all_uses(&loads, &records);
        let forecast = loads.forecast(now, service, &spec, requests, prompt)?;
        Some((forecast, requests))
    }

    /// How the outage of a service's group stands; none where it works.
    pub fn outage(&self, service: &str) -> Option<Outlook> {
        let now = self.clock.now();
        self.loads.borrow_mut().outage(now, service)
    }

    /// Time that an answer of so many tokens takes at a service as it is now; none where no group
    /// of engines gives it.
    pub fn estimated_response_time(&self, service: &str, tokens: u32) -> Option<Duration> {
        let replica = self.replica.borrow();
        let loads = self.loads.borrow();
        let (_, spec) = servers_of(&replica, &loads, self.clock.now(), service);
        Some(loads.estimated_response_time(service, &spec?, tokens))
    }

    /// Takes in the pause before an event of a stream.
    pub fn record_event_gap(&self, service: &str, pause: Duration) {
        let now = self.clock.now();
        let replica = self.replica.borrow();
        let mut loads = self.loads.borrow_mut();
        let (records, Some(spec)) = servers_of(&replica, &loads, now, service) else {
            return;
        };
        loads.record_stream_event(now, service);
        let requests = all_uses(&loads, &records);
        if loads.record_event_gap(now, service, &spec, pause, requests) {
            self.capacity_changed.notify_one();
        }
    }

    /// Whether a server may get new requests, by what it has said itself.
    pub fn server_access(&self, server: &ServerRecord) -> Access {
        let now = self.clock.now();
        let drain = self.settings().promises.drain;
        let loads = self.loads.borrow();
        loads.notices.access(now, &server.id, server.born, drain)
    }

    /// Whether any server of a service may take requests now or after a pause.
    pub fn has_usable_server(&self, service: &str) -> bool {
        let replica = self.replica.borrow();
        let mut usable = replica.usable_servers(service);
        usable.any(|it| self.server_access(it) != Access::Closed)
    }

    /// When the first server of a service opens, where all of them want nothing for a while.
    pub fn next_opening(&self, service: &str) -> Option<Timestamp> {
        let replica = self.replica.borrow();
        let mut first = None;
        for server in replica.usable_servers(service) {
            match self.server_access(server) {
                Access::Open | Access::Reluctant => return None,
                Access::Paused { until } => first = Some(first.map_or(until, |it| until.min(it))),
                Access::Closed => {}
            }
        }
        first
    }

    /// Takes in what a server has said of itself in an answer.
    pub fn apply_notices(&self, server: &ServerRecord, facts: &AnswerFacts) {
        if facts.leaves {
            self.record_leaving_server(&server.id, server.born, "the server itself");
        }
        let Some(pause) = facts.pause else {
            return;
        };
        let now = self.clock.now();
        let mut loads = self.loads.borrow_mut();
        let until = loads
            .notices
            .take_pause(now, &server.id, server.born, pause);
        metrics::counter!("jujube_server_notices_total", "notice" => "pause").increment(1);
        log_event!(
            events::SERVER_PAUSES,
            server = server.id.as_str(), service = server.service.as_str(),
            asked_ms = pause.as_millis() as u64,
            pause_ms = until.saturating_sub(now).as_millis() as u64;
            "a server wants nothing for a while"
        );
    }

    /// Takes in that a server leaves; true where that was not known.
    pub fn record_leaving_server(&self, server: &str, life: Option<ServerLife>, by: &str) -> bool {
        let now = self.clock.now();
        let is_new = self
            .loads
            .borrow_mut()
            .notices
            .take_leave(now, server, life);
        if !is_new {
            return false;
        }
        metrics::counter!("jujube_server_notices_total", "notice" => "leave").increment(1);
        log_event!(
            events::SERVER_LEAVES,
            server = server, life = life.unwrap_or_default(), by = by; "a server leaves"
        );
        self.unsent_leaves.borrow_mut().push(LeaveNews {
            server: server.to_owned(),
            life,
        });
        self.news_to_send.notify_one();
        true
    }

    /// Whether the caller of a request on a route has come back with it, by the time that it has left.
    pub fn detect_caller_retry(&self, route: &str, left: Duration) -> bool {
        let now = self.clock.now();
        let mut routes = self.returning.borrow_mut();
        if !routes.contains_key(route) {
            routes.insert(route.to_owned(), Returning::default());
        }
        let config = ReturningConfig::default();
        let known = routes.get_mut(route);
        known.is_some_and(|it| it.observe(&config, now, self.rejected.get(), left))
    }

    /// Notes that a request was rejected whose caller may come back.
    pub fn record_rejection(&self) {
        self.rejected.set(Some(self.clock.now()));
    }

    /// Counts a request taken in.
    pub fn count_request(&self) {
        let config = self.repeat_config();
        self.budget.borrow_mut().request(&config, self.clock.now());
    }

    /// Pays for a repeat; false where this process's part of the bound is used up.
    pub fn spend_retry(&self) -> bool {
        let config = self.repeat_config();
        self.budget.borrow_mut().repeat(&config, self.clock.now())
    }

    /// Entries heard lately, this one among them.
    fn processes(&self) -> usize {
        self.peers.borrow().count_alive() + 1
    }

    fn repeat_config(&self) -> RepeatConfig {
        let settings = self.settings();
        let promises = &settings.promises;
        RepeatConfig::part(
            promises.retry_window,
            promises.retry_ratio,
            promises.retry_slack,
            self.processes(),
        )
    }

    /// Time since something happened.
    pub fn elapsed_since(&self, then: Timestamp) -> Duration {
        self.clock.now().saturating_sub(then)
    }
}
