//! Load and health of each backend server and engine group, from this process's own requests and
//! from the messages of other entries.

use std::{cell::Cell, net::IpAddr, rc::Rc, time::Duration};

use jj_news::{GroupStatus, server_tag};
use jj_policy::{
    gossip::IncarnationTag,
    group_members::{GroupTag, UNKNOWN_GROUP},
    load_sums::{
        InFlightUpdate, LoadSums, LoadSumsConfig, LocalInFlight, OutgoingUpdate, ServerInFlight,
        ServerTag, TokensSent,
    },
    outage::{Outage, OutageConfig, OutageForecast},
    pass_model::{PassConfig, PassForecast, PassModel, PassSpec, StreamPassEstimator},
    rate_limits::RateLimits,
    rate_share::RateAllowances,
    server_health::{AttemptOutcome, HealthConfig, ServerHealth},
    server_notices::ServerNotices,
    service_groups::ServiceGroups,
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

/// State of one engine group of a service.
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
    /// Open streams of this process that have had their first event; shared with their counts.
    open_streams: Rc<Cell<u32>>,
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

/// Count of one open stream at its group; it is uncounted on drop.
#[derive(Debug)]
pub struct OpenStreamCount {
    open_streams: Rc<Cell<u32>>,
}

impl Drop for OpenStreamCount {
    fn drop(&mut self) {
        self.open_streams.update(|it| it - 1);
    }
}

/// Returns the key by which entries name a group in messages on prompt tokens: the tag of its service
/// if that has no other group.
fn group_key(service: &str, groups: &ServiceGroups<GroupState>, group: GroupTag) -> ServerTag {
    let service = server_tag(service);
    match groups.has_several() {
        true => service ^ group as ServerTag,
        false => service,
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
    groups: FastMap<ServiceId, ServiceGroups<GroupState>>,
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
        let mut tokens = Vec::new();
        for (service, groups) in &self.groups {
            for tag in groups.tags() {
                let sent = groups.get(tag).map(|it| it.prompt_tokens_sent);
                tokens.push(TokensSent {
                    service: group_key(service, groups, tag),
                    total: sent.unwrap_or_default(),
                });
            }
        }
        tokens
    }

    /// Applies an entry's message on requests in flight and prompt tokens sent.
    pub fn apply_in_flight_update(&mut self, now: Timestamp, from: IpAddr, news: &InFlightUpdate) {
        for sent in self.peer_loads.receive(now, from, news) {
            let tokens = u32::try_from(sent.total).unwrap_or(u32::MAX);
            if let (Some(group), true) = (self.group_with_key(sent.service), tokens > 0) {
                group.model.record_prompt(now, tokens);
            }
        }
    }

    /// Returns the group that other entries name by a key.
    fn group_with_key(&mut self, key: ServerTag) -> Option<&mut GroupState> {
        self.groups.iter_mut().find_map(|(service, groups)| {
            let mut tags = groups.tags().into_iter();
            let tag = tags.find(|tag| group_key(service, groups, *tag) == key)?;
            groups.get_mut(tag)
        })
    }

    /// Returns the tag of the group of a server.
    pub fn group_of(&self, service: &str, server: &str) -> GroupTag {
        let groups = self.groups.get(service);
        groups.map_or(UNKNOWN_GROUP, |it| it.group_of(server))
    }

    /// Returns whether a server is known to be in a group of its service other than `group`.
    pub fn is_in_other_group(
        &self,
        now: Timestamp,
        service: &str,
        server: &str,
        group: GroupTag,
    ) -> bool {
        let groups = self.groups.get(service);
        groups.is_some_and(|it| it.is_in_other_group(now, server, group))
    }

    /// Records that a server is in a group of its service; nothing if its agent names none, as beside
    /// the servers of plain services.
    pub fn record_member(&mut self, now: Timestamp, service: &str, server: &str, group: GroupTag) {
        if group == UNKNOWN_GROUP {
            return;
        }
        let groups = self.groups.entry(service.to_owned()).or_default();
        groups.record_member(now, server, group);
    }

    /// Returns a group of a service.
    fn group(&self, service: &str, group: GroupTag) -> Option<&GroupState> {
        self.groups.get(service)?.get(group)
    }

    /// Records the prompt tokens of a request that is sent to a server of a group.
    pub fn record_prompt_sent(&mut self, now: Timestamp, service: &str, server: &str, tokens: u32) {
        let groups = self.groups.entry(service.to_owned()).or_default();
        let group = groups.of_server_mut(server);
        group.prompt_tokens_sent += u64::from(tokens);
        group.model.record_prompt(now, tokens);
    }

    /// Records the time before an event of a stream, while the group has `requests` in flight;
    /// returns true if a pass length could be derived from it.
    pub fn record_event_gap(
        &mut self,
        now: Timestamp,
        (service, group): (&str, GroupTag),
        spec: &PassSpec,
        gap: Duration,
        requests: u32,
    ) -> bool {
        let groups = self.groups.get_mut(service);
        let Some(group) = groups.and_then(|it| it.get_mut(group)) else {
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
    pub fn slowdown(&self, now: Timestamp, service: &str, group: GroupTag) -> f64 {
        let reported = self.group(service, group).and_then(|it| it.slowdown);
        let fresh = reported.filter(|(at, _)| *at + SLOWDOWN_EXPIRY >= now);
        fresh.map_or(1.0, |(_, slowdown)| slowdown)
    }

    /// Estimates the time that a response of `tokens` tokens takes at the current load of a group;
    /// zero if nothing is known of it.
    pub fn estimated_response_time(
        &self,
        (service, group): (&str, GroupTag),
        spec: &PassSpec,
        tokens: u32,
    ) -> Duration {
        let group = self.group(service, group);
        group.map_or(Duration::ZERO, |it| {
            it.model.estimated_response_time(spec, tokens)
        })
    }

    /// Records that a stream of a group has had an event, which shows that the group works.
    pub fn record_stream_event(&mut self, now: Timestamp, service: &str, group: GroupTag) {
        let groups = self.groups.get_mut(service);
        if let Some(group) = groups.and_then(|it| it.get_mut(group)) {
            group.outage.record_event(now);
            group.detect_new_formation(now);
        }
    }

    /// Counts a stream as open at a server's group, after its first event, until the count is dropped.
    /// `None` if the servers of the service form no group.
    pub fn count_open_stream(&mut self, service: &str, server: &str) -> Option<OpenStreamCount> {
        let groups = self.groups.get_mut(service)?;
        let open_streams = Rc::clone(&groups.of_server_mut(server).open_streams);
        open_streams.update(|it| it + 1);
        Some(OpenStreamCount { open_streams })
    }

    /// Applies the report of the agent beside a server on its group: the group's epoch, whether it
    /// works, and its slowdown.
    pub fn apply_group_status(
        &mut self,
        now: Timestamp,
        (service, server): (&str, &str),
        status: &GroupStatus,
    ) {
        let groups = self.groups.entry(service.to_owned()).or_default();
        let Some(group) = groups.record_report(now, server, status.group) else {
            return;
        };
        group.slowdown = Some((now, status.slowdown));
        group.outage.record_agent_report(now, status.is_open);
        group.detect_new_formation(now);
        if status.is_open && group.epoch != Some(status.epoch) {
            let is_new_epoch = group.epoch.replace(status.epoch).is_some();
            if is_new_epoch {
                group.model.record_formation(now);
            }
        }
    }

    /// Records that a server refused a request because its group does not work.
    pub fn record_group_refusal(&mut self, now: Timestamp, service: &str, server: &str) {
        if let Some(groups) = self.groups.get_mut(service) {
            groups.of_server_mut(server).outage.record_refusal(now);
        }
    }

    /// Returns the age and the expected rest of the outage of a service, if all of the given groups
    /// are out, or all that are known if none is given; `None` if one works.
    pub fn service_outage(
        &mut self,
        now: Timestamp,
        service: &str,
        usable: &[GroupTag],
    ) -> Option<OutageForecast> {
        let known = match usable {
            [] => self.groups.get(service)?.tags(),
            _ => usable.to_vec(),
        };
        let outages = known.iter().map(|tag| self.outage(now, service, *tag));
        // Each group is looked at, which records when its outage begins or ends.
        let outages: Vec<Option<OutageForecast>> = outages.collect();
        let outages: Option<Vec<OutageForecast>> = outages.into_iter().collect();
        outages?.into_iter().min_by_key(|it| it.remaining)
    }

    /// Returns the age and the expected rest of the outage of a group; `None` if it works.
    pub fn outage(
        &mut self,
        now: Timestamp,
        service: &str,
        group: GroupTag,
    ) -> Option<OutageForecast> {
        let group = self.groups.get_mut(service)?.get_mut(group)?;
        let open_streams = group.open_streams.get();
        let is_out = group.outage.is_down(&self.outage_config, now, open_streams);
        group.detect_new_formation(now);
        is_out.then(|| group.outage.forecast(&self.outage_config, now))
    }

    /// Forecasts the pass lengths of a group with one more request, whose prompt has `prompt`
    /// tokens; `None` if nothing is known of the group.
    pub fn forecast(
        &self,
        now: Timestamp,
        (service, group): (&str, GroupTag),
        spec: &PassSpec,
        requests: u32,
        prompt: u32,
    ) -> Option<PassForecast> {
        let group = self.group(service, group)?;
        let model = &group.model;
        Some(model.forecast(&self.pass_config, spec, now, requests, prompt))
    }
}
