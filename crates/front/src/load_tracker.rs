//! Load and health of each backend server and engine group, from this process's own requests and
//! from the messages of other entries.

use std::{net::IpAddr, time::Duration};

use jj_news::server_tag;
use jj_policy::{
    gossip::IncarnationTag,
    load_sums::{
        InFlightUpdate, LoadSums, LoadSumsConfig, LocalInFlight, OutgoingUpdate, ServerInFlight,
        TokensSent,
    },
    outage::{Outage, OutageConfig, OutageForecast},
    pass_model::{PassConfig, PassForecast, PassModel, PassSpec, StreamPassEstimator},
    rate_limits::RateLimits,
    rate_share::RateAllowances,
    server_health::{AttemptOutcome, HealthConfig, ServerHealth},
    server_notices::ServerNotices,
};
use jj_utils::{
    clock::Timestamp,
    collections::FastMap,
    events,
    ids::{BackendServerId, ServiceId},
    log_event,
};

/// Load and health of one server, as observed by this process.
#[derive(Debug, Clone, Default)]
struct ServerLoad {
    /// Requests of this process in flight at the server.
    local_requests: u32,
    /// Health, derived from the results of attempts.
    health: ServerHealth,
}

/// State of the engine group that the servers of a service form.
#[derive(Debug, Default)]
struct GroupState {
    /// Derives pass lengths from the gaps between stream events.
    meter: StreamPassEstimator,
    /// Predicts pass lengths from the requests in flight.
    model: PassModel,
    /// Detects that the group is out, and estimates for how long.
    outage: Outage,
    /// Epoch (formation of the group) in which an agent last reported that it works.
    epoch: Option<u64>,
    /// Factor by which the slowest server is slower than usual, and when an agent reported it.
    slowdown: Option<(Timestamp, f64)>,
    /// Open streams of this process that have had their first event.
    open_streams: u32,
    /// Prompt tokens that this process has sent since its start.
    prompt_tokens_sent: u64,
}

/// Time after which an agent's report of its group's slowdown expires.
const SLOWDOWN_EXPIRY: Duration = Duration::from_millis(1_200);

impl GroupState {
    /// Notifies the pass model of a new formation if an outage has ended since the last call.
    fn detect_new_formation(&mut self, now: Timestamp) {
        if self.outage.take_ended() {
            self.model.record_formation(now);
        }
    }
}

/// Load and health of all servers and groups.
#[derive(Debug)]
pub struct LoadTracker {
    servers: FastMap<BackendServerId, ServerLoad>,
    /// Requests in flight and servers avoided, as reported by the other entries.
    pub peer_loads: LoadSums,
    /// Notices of servers that are leaving or have asked for a pause.
    pub notices: ServerNotices,
    /// Request rates that servers accept from all processes together.
    pub rate_limits: RateLimits,
    groups: FastMap<ServiceId, GroupState>,
    /// Requests that may still be sent to each cold server.
    pub cold_allowances: RateAllowances,
    /// Requests that may still be sent to each server that states a limit.
    pub limit_allowances: RateAllowances,
    health_config: HealthConfig,
    pass_config: PassConfig,
    outage_config: OutageConfig,
}

impl LoadTracker {
    /// Returns a tracker without any data; `incarnation` identifies this run of the process.
    pub fn new(incarnation: IncarnationTag) -> Self {
        Self {
            servers: FastMap::default(),
            peer_loads: LoadSums::new(LoadSumsConfig::default(), incarnation),
            notices: ServerNotices::default(),
            rate_limits: RateLimits::default(),
            groups: FastMap::default(),
            cold_allowances: RateAllowances::default(),
            limit_allowances: RateAllowances::default(),
            health_config: HealthConfig::default(),
            pass_config: PassConfig::default(),
            outage_config: OutageConfig::default(),
        }
    }

    /// Counts a request as in flight at a server.
    pub fn add_request(&mut self, server: &str) {
        self.cold_allowances.consume(server);
        self.limit_allowances.consume(server);
        self.servers
            .entry(server.to_owned())
            .or_default()
            .local_requests += 1;
    }

    /// Counts a request at a server as ended.
    pub fn remove_request(&mut self, server: &str) {
        if let Some(load) = self.servers.get_mut(server) {
            load.local_requests = load.local_requests.saturating_sub(1);
        }
    }

    /// Records the result of an attempt in the server's health, after taking over the number of
    /// successive pauses that peers have reported for it.
    pub fn record_outcome(&mut self, now: Timestamp, server: &str, outcome: AttemptOutcome) {
        let reported = self.peer_loads.remote_avoidance(server_tag(server));
        let load = self.servers.entry(server.to_owned()).or_default();
        if let Some((_, pauses)) = reported {
            load.health.raise_consecutive_pauses(pauses);
        }
        load.health
            .record_attempt(&self.health_config, now, outcome);
    }

    /// Returns this process's requests in flight at a server.
    pub fn local_requests(&self, server: &str) -> u32 {
        self.servers.get(server).map_or(0, |it| it.local_requests)
    }

    /// Returns the other entries' requests in flight at a server.
    pub fn remote_requests(&self, server: &str) -> u32 {
        self.peer_loads.remote_requests(server_tag(server))
    }

    /// Returns whether new requests should avoid a server, by its health here or, unless it has
    /// just responded well here, by the reports of other entries.
    pub fn is_avoided(&self, now: Timestamp, server: &str) -> bool {
        let load = self.servers.get(server);
        if load.is_some_and(|it| it.health.is_avoided(now)) {
            return true;
        }
        let is_fresh =
            load.is_some_and(|it| it.health.has_recent_success(&self.health_config, now));
        let reported = self.peer_loads.remote_avoidance(server_tag(server));
        !is_fresh && reported.is_some_and(|(until, _)| now < until)
    }

    /// Returns the part of recent attempts at a server that failed.
    pub fn failed_part(&self, now: Timestamp, server: &str) -> f64 {
        let load = self.servers.get(server);
        load.map_or(0.0, |it| it.health.failed_part(&self.health_config, now))
    }

    /// Returns whether the last attempt to connect to a server failed.
    pub fn is_unreachable(&self, server: &str) -> bool {
        let load = self.servers.get(server);
        load.is_some_and(|it| it.health.is_unreachable())
    }

    /// Returns the messages on requests in flight that are due, with their recipients.
    pub fn prepare_updates(&mut self, now: Timestamp) -> Vec<OutgoingUpdate> {
        let own = LocalInFlight {
            servers: self.local_in_flight(now),
            tokens: self.local_prompt_tokens(),
        };
        self.peer_loads.prepare_updates(now, own)
    }

    /// Returns this process's requests by server, and the servers that it avoids.
    fn local_in_flight(&self, now: Timestamp) -> Vec<ServerInFlight> {
        let uses = self.servers.iter().map(|(id, load)| ServerInFlight {
            server: server_tag(id),
            requests: load.local_requests,
            avoid_ms: load.health.pause_to_share(now).as_millis() as u32,
            pauses: load.health.consecutive_pauses(),
        });
        uses.filter(|it| it.requests > 0 || it.avoid_ms > 0)
            .collect()
    }

    /// Returns the prompt tokens that this process has sent, by service.
    fn local_prompt_tokens(&self) -> Vec<TokensSent> {
        let groups = self.groups.iter();
        groups
            .map(|(service, group)| TokensSent {
                service: server_tag(service),
                total: group.prompt_tokens_sent,
            })
            .collect()
    }

    /// Applies an entry's message on requests in flight and prompt tokens sent.
    pub fn apply_in_flight_update(&mut self, now: Timestamp, from: IpAddr, news: &InFlightUpdate) {
        for sent in self.peer_loads.receive(now, from, news) {
            let mut groups = self.groups.iter_mut();
            let group = groups.find(|(id, _)| server_tag(id) == sent.service);
            if let (Some((_, group)), true) = (group, sent.total > 0) {
                let tokens = u32::try_from(sent.total).unwrap_or(u32::MAX);
                group.model.record_prompt(now, tokens);
            }
        }
    }

    /// Records the prompt tokens of a request that is sent to a group.
    pub fn record_prompt_sent(&mut self, now: Timestamp, service: &str, tokens: u32) {
        let group = self.groups.entry(service.to_owned()).or_default();
        group.prompt_tokens_sent += u64::from(tokens);
        group.model.record_prompt(now, tokens);
    }

    /// Records the time before an event of a stream, while the group has `requests` in flight;
    /// returns true if a pass length could be derived from it.
    pub fn record_event_gap(
        &mut self,
        now: Timestamp,
        service: &str,
        spec: &PassSpec,
        gap: Duration,
        requests: u32,
    ) -> bool {
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        let Some(pass) = group.meter.record_gap(now, gap) else {
            return false;
        };
        if !group.meter.is_representative(spec, now, pass) {
            return false;
        }
        if group.model.has_no_passes() {
            // The group may have formed just before this process started to observe it.
            group.model.record_formation(now);
        }
        group
            .model
            .record_pass(&self.pass_config, spec, now, pass, requests);
        let imbalance = group.model.imbalance();
        let worst = group.model.peak_imbalance(&self.pass_config, now);
        log_event!(
            events::PASS_SEEN,
            pass_ms = pass.as_millis() as u64, requests = requests,
            imbalance = imbalance, worst = worst;
            "pass length observed"
        );
        true
    }

    /// Returns the factor by which the slowest server of a group is slower than usual; 1 without a
    /// recent report.
    pub fn slowdown(&self, now: Timestamp, service: &str) -> f64 {
        let reported = self.groups.get(service).and_then(|it| it.slowdown);
        let fresh = reported.filter(|(at, _)| *at + SLOWDOWN_EXPIRY >= now);
        fresh.map_or(1.0, |(_, slowdown)| slowdown)
    }

    /// Estimates the time that a response of `tokens` tokens takes at the current load of a group;
    /// zero if nothing is known of it.
    pub fn estimated_response_time(&self, service: &str, spec: &PassSpec, tokens: u32) -> Duration {
        let group = self.groups.get(service);
        group.map_or(Duration::ZERO, |it| {
            it.model.estimated_response_time(spec, tokens)
        })
    }

    /// Records that a stream of a group has had an event, which shows that the group works.
    pub fn record_stream_event(&mut self, now: Timestamp, service: &str) {
        if let Some(group) = self.groups.get_mut(service) {
            group.outage.record_event(now);
            group.detect_new_formation(now);
        }
    }

    /// Counts a stream as open after its first event (`has_begun`), or as ended.
    pub fn count_open_stream(&mut self, service: &str, has_begun: bool) {
        if let Some(group) = self.groups.get_mut(service) {
            match has_begun {
                true => group.open_streams += 1,
                false => group.open_streams = group.open_streams.saturating_sub(1),
            }
        }
    }

    /// Applies an agent's report on the group of a service: its epoch, whether it works and its
    /// slowdown.
    pub fn apply_group_status(
        &mut self,
        now: Timestamp,
        service: &str,
        epoch: u64,
        is_open: bool,
        slowdown: f64,
    ) {
        let group = self.groups.entry(service.to_owned()).or_default();
        group.slowdown = Some((now, slowdown));
        group.outage.record_agent_report(now, is_open);
        group.detect_new_formation(now);
        if is_open && group.epoch != Some(epoch) {
            let is_new_epoch = group.epoch.replace(epoch).is_some();
            if is_new_epoch {
                group.model.record_formation(now);
            }
        }
    }

    /// Records that a server refused a request because its group does not work.
    pub fn record_group_refusal(&mut self, now: Timestamp, service: &str) {
        if let Some(group) = self.groups.get_mut(service) {
            group.outage.record_refusal(now);
        }
    }

    /// Returns the age and the expected rest of the outage of a service's group; `None` if it
    /// works.
    pub fn outage(&mut self, now: Timestamp, service: &str) -> Option<OutageForecast> {
        let group = self.groups.get_mut(service)?;
        let is_out = group
            .outage
            .is_down(&self.outage_config, now, group.open_streams);
        group.detect_new_formation(now);
        is_out.then(|| group.outage.forecast(&self.outage_config, now))
    }

    /// Forecasts the pass lengths of a group with one more request, whose prompt has `prompt`
    /// tokens; `None` if nothing is known of the group.
    pub fn forecast(
        &self,
        now: Timestamp,
        service: &str,
        spec: &PassSpec,
        requests: u32,
        prompt: u32,
    ) -> Option<PassForecast> {
        let group = self.groups.get(service)?;
        let model = &group.model;
        Some(model.forecast(&self.pass_config, spec, now, requests, prompt))
    }
}
