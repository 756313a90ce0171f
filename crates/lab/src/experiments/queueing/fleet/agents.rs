//! What agents and their servers do: admit, run, answer.

use jj_policy::admission::{
    AdmissionDecision, AdmissionRequest, CompletionStatus, Dequeued, Refusal, Ticket,
};

use super::{Event, Fleet, Refused, SILENCE, parts::Held};

impl Fleet<'_> {
    pub(super) fn reach(&mut self, request: usize, attempt: u32, server: usize) {
        if !self.servers[server].alive {
            return self.after(
                SILENCE,
                Event::Lost {
                    request,
                    attempt,
                    server,
                },
            );
        }
        self.tickets += 1;
        let ticket = self.tickets;
        let arrival = &self.arrivals[request];
        let account = if self.config.single_queue {
            0
        } else {
            arrival.account
        };
        let held = Held {
            request,
            attempt,
            arrived: self.now,
            hit: false,
        };
        self.servers[server].tickets.insert(ticket, held);
        let offer = self.servers[server].gate.try_admit(
            self.now,
            AdmissionRequest {
                ticket,
                account: account.to_string(),
                weight: 1,
                deadline: arrival.at + arrival.timeout,
                cost: 1,
                tokens: 0,
            },
        );
        match offer {
            AdmissionDecision::Start => self.begin(server, ticket),
            AdmissionDecision::Queued(None) => {}
            AdmissionDecision::Queued(Some(refusal)) | AdmissionDecision::Refused(refusal) => {
                self.refuse(server, refusal)
            }
        }
    }

    pub(super) fn begin(&mut self, server: usize, ticket: Ticket) {
        let now = self.now;
        let target = &mut self.servers[server];
        let Some(held) = target.tickets.get_mut(&ticket) else {
            return;
        };
        let times = target.engine.begin(&self.arrivals[held.request], now);
        held.hit = times.hit;
        let life = target.life;
        self.after(
            times.first,
            Event::FirstToken {
                server,
                life,
                ticket,
            },
        );
        self.after(
            times.total,
            Event::Finish {
                server,
                life,
                ticket,
            },
        );
    }

    pub(super) fn refuse(&mut self, server: usize, refusal: Refusal) {
        let Some(held) = self.servers[server].tickets.remove(&refusal.ticket) else {
            return;
        };
        let Held {
            request, attempt, ..
        } = held;
        let refusal = Refused {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        };
        let distance = self.distance(self.requests[request].entry, server);
        self.after(
            distance,
            Event::Refused {
                request,
                attempt,
                server,
                refusal,
            },
        );
    }

    pub(super) fn release(&mut self, server: usize, released: Dequeued) {
        for ticket in released.started {
            self.begin(server, ticket);
        }
        for refusal in released.refused {
            self.refuse(server, refusal);
        }
    }

    pub(super) fn first_token(&mut self, server: usize, life: u64, ticket: Ticket) {
        let now = self.now;
        let target = &mut self.servers[server];
        if target.life != life {
            return;
        }
        target.gate.record_first_byte(now, ticket);
        let Some(held) = target.tickets.get(&ticket).copied() else {
            return;
        };
        let distance = self.distance(self.requests[held.request].entry, server);
        let request = &mut self.requests[held.request];
        if request.number == held.attempt && request.first.is_none() {
            let client = self.config.workload.client * 2;
            request.first = Some(now + distance + client - self.arrivals[held.request].at);
            request.hit = held.hit;
        }
    }

    pub(super) fn finish(&mut self, server: usize, life: u64, ticket: Ticket) {
        let now = self.now;
        let target = &mut self.servers[server];
        if target.life != life {
            return;
        }
        target.engine.running -= 1;
        let released = target
            .gate
            .record_completion(now, ticket, CompletionStatus::Ok);
        if let Some(held) = target.tickets.remove(&ticket) {
            let took = (now - held.arrived).as_secs_f64();
            target.latency += 0.1 * (took - target.latency);
            let Held {
                request, attempt, ..
            } = held;
            let distance = self.distance(self.requests[request].entry, server);
            self.after(
                distance,
                Event::Answered {
                    request,
                    attempt,
                    server,
                },
            );
        }
        self.release(server, released);
    }
}
