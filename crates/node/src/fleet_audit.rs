//! Records fleet changes in the audit trail: configuration, failure domains, instances and this
//! process's authority to take new work.

use std::sync::Arc;

use jj_operator::audit::{AuditTrail, Change};
use jj_platform::config_reader::ConfigView;
use jj_policy::{authority::AuthorityState, membership::MemberState};
use jj_utils::{
    collections::FastMap,
    events::{self, Event},
    ids::{ConfigIndex, FailureDomainId, InstanceId},
};

/// Keeps the last recorded state, so that only changes are recorded.
pub struct FleetAudit {
    trail: Arc<AuditTrail>,
    index: ConfigIndex,
    refused_index: ConfigIndex,
    withdrawn: Vec<FailureDomainId>,
    states: FastMap<InstanceId, MemberState>,
    authority_state: Option<AuthorityState>,
}

impl FleetAudit {
    /// Creates a recorder without previous state.
    pub fn new(trail: Arc<AuditTrail>) -> Self {
        Self {
            trail,
            index: 0,
            refused_index: 0,
            withdrawn: Vec::new(),
            states: FastMap::default(),
            authority_state: None,
        }
    }

    /// Records newly accepted and newly refused publications.
    pub fn config(&mut self, view: &ConfigView) {
        if let Some(published) = view.published.as_ref().filter(|p| p.index > self.index) {
            let to = format!("index {}, manifest {}", published.index, published.digest);
            let from = format!("index {}", self.index);
            self.index = published.index;
            self.record(
                events::CONFIG_ACCEPTED,
                "configuration",
                [&from, &to],
                "published",
            );
        }
        if let Some(refusal) = view
            .refused
            .as_ref()
            .filter(|r| r.index > self.refused_index)
        {
            self.refused_index = refusal.index;
            let from = format!("index {}", self.index);
            let reason = refusal.to_string();
            self.record(
                events::CONFIG_REFUSED,
                "configuration",
                [&from, &from],
                &reason,
            );
        }
    }

    /// Records failure domains that were withdrawn or returned to service.
    pub fn domains(&mut self, withdrawn: &[FailureDomainId]) {
        let before = std::mem::replace(&mut self.withdrawn, withdrawn.to_vec());
        let reason = "published configuration";
        for domain in withdrawn.iter().filter(|domain| !before.contains(domain)) {
            let subject = format!("failure domain {domain}");
            let change = ["in service", "withdrawn"];
            self.record(events::DOMAIN_WITHDRAWN, &subject, change, reason);
        }
        for domain in before.iter().filter(|domain| !withdrawn.contains(domain)) {
            let subject = format!("failure domain {domain}");
            let change = ["withdrawn", "in service"];
            self.record(events::DOMAIN_RETURNED, &subject, change, reason);
        }
    }

    /// Records instances whose state changed; forgets those no longer in `states`.
    pub fn members(&mut self, states: &[(&str, MemberState)]) {
        for (id, state) in states {
            let before = self.states.insert((*id).to_owned(), *state);
            let before = before.unwrap_or(MemberState::Unknown);
            if before == *state {
                continue;
            }
            let change = [format!("{before:?}"), format!("{state:?}")];
            let reason = "live list, heartbeats and connects";
            let subject = format!("instance {id}");
            self.record(
                events::MEMBER_CHANGED,
                &subject,
                [&change[0], &change[1]],
                reason,
            );
        }
        self.states
            .retain(|id, _| states.iter().any(|(known, _)| known == id));
    }

    /// Records when this process gains or loses its authority to take new work.
    pub fn authority(&mut self, state: AuthorityState) {
        let before = self.authority_state.replace(state);
        let could_take_work = before.is_none_or(AuthorityState::may_take_work);
        if could_take_work == state.may_take_work() {
            return;
        }
        let event = match could_take_work {
            true => events::AUTHORITY_LOST,
            false => events::AUTHORITY_BACK,
        };
        let from = before.map_or("unknown".to_owned(), |before| format!("{before:?}"));
        let to = format!("{state:?}");
        let reason = "age of the configuration's evidence";
        self.record(event, "authority to take new work", [&from, &to], reason);
    }

    fn record(&self, event: Event, subject: &str, [from, to]: [&str; 2], reason: &str) {
        let change = Change {
            subject: subject.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            reason: reason.to_owned(),
            index: self.index,
        };
        self.trail.record(event, change);
    }
}
