//! What entries and callers do: dial, choose, retry, end.

use std::time::Duration;

use jj_policy::{
    admission::RefusalReason,
    rendezvous::key_hash,
    retry::{Attempts, RetryConfig, RetryDecision, RetryFacts, decide_retry},
    routing::RequestFacts,
    verdict::Verdict,
};
use rand::RngExt;

use super::{
    ADDRESS_LIFE_MS, ENTRIES, Event, FAR, Fleet, NEAR, REFUSAL_PAUSE, Refused, SILENCE,
    parts::{probe, report},
};
use crate::experiments::queueing::{
    outcome::Ended,
    router::Reachable,
    traffic::{ACCOUNTS, Service},
};

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let entry = self.dial();
        self.requests[request].entry = entry;
        if !self.entries[entry].alive {
            self.after(SILENCE / 2, Event::Redial { request });
            return;
        }
        self.take_in(request);
        self.attempt(request);
    }

    pub(super) fn take_in(&mut self, request: usize) {
        let entry = &mut self.entries[self.requests[request].entry];
        entry
            .budget
            .record_request(&RetryConfig::default(), self.now);
        if self.arrivals[request].service == Service::Model {
            entry.open[self.arrivals[request].account] += 1;
        }
        self.requests[request].counted = true;
    }

    pub(super) fn let_go(&mut self, request: usize) {
        let is_counted = std::mem::take(&mut self.requests[request].counted);
        if is_counted && self.arrivals[request].service == Service::Model {
            let entry = &mut self.entries[self.requests[request].entry];
            entry.open[self.arrivals[request].account] -= 1;
        }
    }

    /// The entry whose address a caller holds.
    pub(super) fn dial(&mut self) -> usize {
        let entry = self.rng.random_range(0..ENTRIES);
        let kept = Duration::from_millis(self.rng.random_range(0..ADDRESS_LIFE_MS));
        match self.withdrawn_at[self.entries[entry].domain] {
            Some(at) if self.now > at + kept => self.next_alive(entry),
            _ => entry,
        }
    }

    pub(super) fn next_alive(&self, entry: usize) -> usize {
        let others = (1..ENTRIES).map(|step| (entry + step) % ENTRIES);
        let takes = |e: &usize| {
            let entry = &self.entries[*e];
            entry.alive && self.withdrawn_at[entry.domain].is_none()
        };
        others.into_iter().find(takes).unwrap_or(entry)
    }

    /// A caller that lost its entry goes to the next one.
    pub(super) fn redial(&mut self, request: usize) {
        if self.requests[request].done {
            return;
        }
        self.let_go(request);
        let entry = self.next_alive(self.requests[request].entry);
        self.requests[request].entry = entry;
        self.requests[request].number += 1;
        self.requests[request].attempts = Attempts::default();
        self.take_in(request);
        self.attempt(request);
    }

    pub(super) fn attempt(&mut self, request: usize) {
        let arrival = &self.arrivals[request];
        let state = &self.requests[request];
        if state.done || !self.entries[state.entry].alive {
            return;
        }
        let entry = state.entry;
        let options = self.reachable(entry, arrival.service);
        let tried: Vec<String> = state.attempts.tried_servers.clone();
        let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
        let facts = RequestFacts {
            prefix: (arrival.prefix != 0).then_some(arrival.prefix),
            account_hash: key_hash(&format!("account-{}", arrival.account)),
            account_share: 1.0 / ACCOUNTS as f64,
            account_in_flight_share: self.entries[entry].used(arrival),
            prefill_time: arrival.prefill,
            deadline: arrival.at + arrival.timeout,
            tried_servers: &tried,
        };
        let (servers, now) = (&self.servers, self.now);
        let probe = |server: usize| probe(&servers[server], now);
        let choice = self.entries[entry]
            .router
            .choose(&options, &facts, now, probe);
        let Ok(server) = choice else {
            return self.end(request, None);
        };
        let state = &mut self.requests[request];
        state.number += 1;
        state.made += 1;
        let attempt = state.number;
        let distance = self.distance(entry, server);
        self.after(
            distance,
            Event::Reach {
                request,
                attempt,
                server,
            },
        );
    }

    pub(super) fn reachable(&self, entry: usize, service: Service) -> Vec<Reachable> {
        let membership = &self.entries[entry].membership;
        let of_service = (0..self.servers.len()).filter(|&s| self.servers[s].service == service);
        of_service
            .map(|server| Reachable {
                server,
                state: membership.state(&self.servers[server].name, self.now),
                domain: self.servers[server].domain,
                distance: self.distance(entry, server),
            })
            .collect()
    }

    pub(super) fn distance(&self, entry: usize, server: usize) -> Duration {
        if self.entries[entry].domain == self.servers[server].domain {
            NEAR
        } else {
            FAR
        }
    }

    pub(super) fn answered(&mut self, request: usize, attempt: u32, server: usize) {
        let report = report(&self.servers[server], self.now);
        let state = &self.requests[request];
        let entry = &mut self.entries[state.entry];
        if state.done || state.number != attempt || !entry.alive {
            return;
        }
        entry.router.observe_report(server, report);
        let arrival = &self.arrivals[request];
        if arrival.prefix != 0 {
            entry
                .router
                .observe_answer(server, arrival.prefix, self.now);
        }
        let took = self.now + self.config.workload.client * 2 - arrival.at;
        self.end(request, Some(took <= arrival.timeout));
    }

    pub(super) fn refused(
        &mut self,
        request: usize,
        attempt: u32,
        server: usize,
        refusal: Refused,
    ) {
        if self.requests[request].number != attempt || self.requests[request].done {
            return;
        }
        let until = self.now + refusal.retry_after.min(REFUSAL_PAUSE);
        let entry = &mut self.entries[self.requests[request].entry];
        match refusal.reason {
            RefusalReason::Draining => {
                let life = entry.lives[server];
                entry
                    .membership
                    .record_leaving(&self.servers[server].name, life);
            }
            reason if reason.applies_to_all_accounts() => {
                entry.router.observe_refusal(server, until)
            }
            _ => {}
        }
        let retry_after = refusal.retry_after;
        self.failed(request, server, Verdict::NotRun { retry_after });
    }

    pub(super) fn lost(&mut self, request: usize, attempt: u32, server: usize) {
        if self.requests[request].number != attempt || self.requests[request].done {
            return;
        }
        let entry = &mut self.entries[self.requests[request].entry];
        let life = entry.lives[server];
        entry
            .membership
            .record_failure(&self.servers[server].name, life, self.now);
        self.failed(request, server, Verdict::MayHaveRun);
    }

    pub(super) fn failed(&mut self, request: usize, server: usize, verdict: Verdict) {
        let arrival = &self.arrivals[request];
        let name = self.servers[server].name.clone();
        let state = &mut self.requests[request];
        state.attempts.record(&name, verdict);
        let entry = state.entry;
        let tried = state.attempts.tried_servers.clone();
        let options = self.reachable(entry, arrival.service);
        let is_open = |o: &Reachable| {
            o.state.may_take_work() && !tried.contains(&self.servers[o.server].name)
        };
        let facts = RetryFacts {
            is_idempotent: arrival.idempotent,
            deadline: arrival.at + arrival.timeout,
            has_untried_server: options.iter().any(is_open),
            never_arrived: false,
        };
        let draw = self.rng.random();
        let budget = &mut self.entries[entry].budget;
        let attempts = &self.requests[request].attempts;
        match decide_retry(
            &RetryConfig::default(),
            budget,
            attempts,
            &facts,
            self.now,
            draw,
        ) {
            RetryDecision::Retry { after } => self.after(after, Event::Attempt { request }),
            RetryDecision::GiveUp(_) => self.end(request, None),
        }
    }

    /// Ends a request; `answer` says whether its whole answer was in time, if there is one.
    pub(super) fn end(&mut self, request: usize, answer: Option<bool>) {
        self.let_go(request);
        let arrival = &self.arrivals[request];
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.done, true) {
            return;
        }
        self.outcome.ended.push(Ended {
            at: arrival.at,
            account: arrival.account,
            service: arrival.service,
            idempotent: arrival.idempotent,
            first: state.first,
            whole: answer.is_some(),
            in_time: answer == Some(true),
            hit: state.hit,
            attempts: state.made,
        });
    }
}
