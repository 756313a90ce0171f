//! Failure domains and servers that leave, vanish and return.

use std::time::Duration;

use rand::RngExt;

use super::{
    CONFIG_DELAY_MS, DOMAINS, ENTRIES, Event, Fault, Fleet, SILENCE,
    parts::{Entry, Held, entry, gate},
};

impl Fleet<'_> {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Withdraw(domain) => self.withdraw(domain),
            Fault::Cut(domain) => self.cut(domain),
            Fault::Return(domain) => self.come_back(domain),
            Fault::Lose(count) => (0..count).for_each(|server| self.vanish(server)),
            Fault::Restore(count) => (0..count).for_each(|server| self.restart(server)),
            Fault::Slow(server, factor) => self.servers[server].engine.slowing = factor,
        }
    }

    pub(super) fn config_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..CONFIG_DELAY_MS))
    }

    pub(super) fn publish(&mut self, domain: usize, withdrawn: bool) {
        for entry in 0..ENTRIES {
            let delay = self.config_delay();
            self.after(
                delay,
                Event::EntryConfig {
                    entry,
                    domain,
                    withdrawn,
                },
            );
        }
    }

    pub(super) fn withdraw(&mut self, domain: usize) {
        self.withdrawn_at[domain] = Some(self.now);
        self.publish(domain, true);
        for server in self.servers_in(domain) {
            let delay = self.config_delay();
            let life = self.servers[server].life;
            self.after(delay, Event::AgentConfig { server, life });
        }
    }

    pub(super) fn entry_config(&mut self, entry: usize, domain: usize, withdrawn: bool) {
        let entry = &mut self.entries[entry];
        entry.withdrawn.retain(|d| *d != domain);
        if withdrawn {
            entry.withdrawn.push(domain);
        }
        let domains = entry.withdrawn.iter().map(ToString::to_string);
        entry.membership.set_withdrawn_domains(domains);
    }

    pub(super) fn drain(&mut self, server: usize, life: u64) {
        let target = &mut self.servers[server];
        if target.life != life {
            return;
        }
        target.draining = true;
        for refusal in target.gate.drain() {
            self.refuse(server, refusal);
        }
    }

    pub(super) fn cut(&mut self, domain: usize) {
        for server in self.servers_in(domain) {
            self.vanish(server);
        }
        for index in 0..ENTRIES {
            if self.entries[index].domain == domain {
                self.entries[index].alive = false;
            }
        }
        for request in 0..self.requests.len() {
            let is_open = self.arrivals[request].at <= self.now && !self.requests[request].done;
            if is_open && self.entries[self.requests[request].entry].domain == domain {
                self.orphan(request);
            }
        }
    }

    /// The caller of a request whose entry vanished: repeats it elsewhere if that does no harm.
    pub(super) fn orphan(&mut self, request: usize) {
        if !self.arrivals[request].idempotent && self.requests[request].made > 0 {
            return self.end(request, None);
        }
        self.after(SILENCE, Event::Redial { request });
    }

    pub(super) fn vanish(&mut self, server: usize) {
        let target = &mut self.servers[server];
        target.alive = false;
        target.life += 1;
        let mut lost: Vec<Held> = target.tickets.drain().map(|(_, held)| held).collect();
        lost.sort_by_key(|held| held.request);
        for Held {
            request, attempt, ..
        } in lost
        {
            self.after(
                SILENCE,
                Event::Lost {
                    request,
                    attempt,
                    server,
                },
            );
        }
    }

    pub(super) fn come_back(&mut self, domain: usize) {
        self.withdrawn_at[domain] = None;
        self.publish(domain, false);
        for server in self.servers_in(domain) {
            self.vanish(server);
            self.restart(server);
        }
        for index in (0..ENTRIES).filter(|e| e % DOMAINS == domain) {
            if !self.entries[index].alive {
                self.entries[index] = Entry {
                    alive: false,
                    starting: true,
                    ..entry(self.config, &self.servers, index)
                };
            }
        }
    }

    pub(super) fn restart(&mut self, server: usize) {
        let now = self.now;
        let target = &mut self.servers[server];
        target.life += 1;
        target.alive = true;
        target.draining = false;
        target.engine.restart(now);
        target.gate = gate(&target.engine.config, now);
    }

    pub(super) fn servers_in(&self, domain: usize) -> Vec<usize> {
        let is_in = |s: &usize| self.servers[*s].domain == domain;
        (0..self.servers.len()).filter(is_in).collect()
    }
}
