//! State of each instance, derived from the live list, heartbeats and connect results.
//!
//! The live list lags behind both joins and departures, so it alone neither admits nor revives an
//! instance: work goes only to instances with a recent heartbeat. States are computed from ages on
//! each read and never stored, so a process that resumes after a long freeze regards every instance
//! as gone. Evidence is dated by when its request was sent, since a response may have waited in a
//! socket while this process was frozen.

use std::time::Duration;

use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    common_derives,
    ids::{FailureDomainId, Incarnation, InstanceId},
};

/// Settings of membership.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipConfig {
    /// Time without a heartbeat after which an instance is suspect.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which an instance is gone.
    pub gone_after: Duration,
    /// Number of consecutive failed connects after which an instance is gone.
    pub gone_after_failures: u32,
    /// Time without a heartbeat after which an unlisted instance is forgotten. Until then its
    /// incarnation is kept, so that a delayed message cannot revive it.
    pub forget_after: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(1_500),
            gone_after: Duration::from_secs(4),
            gone_after_failures: 3,
            forget_after: Duration::from_secs(600),
        }
    }
}

common_derives! {copy:
    /// State of an instance, as seen by this process.
    pub enum MemberState {
        /// With a recent heartbeat and no failed connect since.
        Live,
        /// Without a recent heartbeat, no longer listed or after a failed connect; gets work only
        /// if no instance is live.
        Suspect,
        /// Leaving the fleet, or in a withdrawn failure domain.
        Leaving,
        /// Without a heartbeat for [`MembershipConfig::gone_after`], or with
        /// [`MembershipConfig::gone_after_failures`] consecutive failed connects.
        Gone,
        /// No heartbeat has been received, or the instance is no longer polled.
        Unknown,
    }
}

impl MemberState {
    /// Returns whether new work may be sent to the instance at all.
    pub fn may_take_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }
}

common_derives! {key:
    /// Instance in the live list.
    pub struct ListedInstance {
        /// Name of the instance.
        pub id: InstanceId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Whether the list marks it as leaving.
        pub leaving: bool,
    }
}

common_derives! {key:
    /// State that an instance reports about itself.
    pub struct Heartbeat {
        /// Name of the instance.
        pub id: InstanceId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Incarnation of the process that sent the heartbeat.
        pub incarnation: Incarnation,
        /// Whether it is leaving and takes no new work.
        pub leaving: bool,
        /// Time at which the heartbeat was requested; its arrival time if there was no request.
        pub requested_at: Timestamp,
    }
}

/// Evidence about one instance.
#[derive(Debug, Clone, Default)]
struct Member {
    domain: FailureDomainId,
    /// Incarnation of the last heartbeat.
    incarnation: Option<Incarnation>,
    /// Whether this incarnation has reported that it is leaving; never reset within an incarnation.
    leaving: bool,
    /// Incarnation known when the list began to mark the instance as leaving; `None` while the list
    /// does not, `Some(None)` if no incarnation was known.
    listed_leaving: Option<Option<Incarnation>>,
    /// Whether the current list names it.
    listed: bool,
    /// Whether the list has ever named it, so that its absence is evidence.
    ever_listed: bool,
    /// Time of the last heartbeat.
    last_heartbeat: Option<Timestamp>,
    /// Number of consecutive failed connects.
    failures: u32,
    /// Time of the last failed connect.
    last_failure: Timestamp,
}

impl Member {
    /// Resets the evidence for a new incarnation.
    fn start_incarnation(&mut self, incarnation: Incarnation) {
        // A mark in the list from before the first known incarnation applies to this one.
        if self.listed_leaving == Some(None) {
            self.listed_leaving = Some(Some(incarnation));
        }
        self.incarnation = Some(incarnation);
        self.leaving = false;
        self.last_heartbeat = None;
        self.failures = 0;
        self.last_failure = Duration::ZERO;
    }
}

/// Evidence about every instance known to this process.
#[derive(Debug, Default)]
pub struct Membership {
    config: MembershipConfig,
    members: FastMap<InstanceId, Member>,
    withdrawn: FastSet<FailureDomainId>,
}

impl Membership {
    /// Creates a membership without instances.
    pub fn new(config: MembershipConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Records a complete live list; instances that it omits are no longer listed.
    pub fn record_live_list(&mut self, list: &[ListedInstance]) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for listed in list {
            let member = self.members.entry(listed.id.clone()).or_default();
            member.listed = true;
            member.ever_listed = true;
            if member.last_heartbeat.is_none() {
                member.domain.clone_from(&listed.domain);
            }
            match (listed.leaving, member.listed_leaving) {
                (true, None) => member.listed_leaving = Some(member.incarnation),
                (false, _) => member.listed_leaving = None,
                (true, Some(_)) => {}
            }
        }
    }

    /// Records a heartbeat; ignores one of an earlier incarnation.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let member = self.members.entry(heartbeat.id.clone()).or_default();
        if member.incarnation > Some(heartbeat.incarnation) {
            return;
        }
        if member.incarnation != Some(heartbeat.incarnation) {
            member.start_incarnation(heartbeat.incarnation);
        }
        member.domain.clone_from(&heartbeat.domain);
        member.leaving |= heartbeat.leaving;
        member.last_heartbeat = member.last_heartbeat.max(Some(heartbeat.requested_at));
        if heartbeat.requested_at >= member.last_failure {
            member.failures = 0;
        }
    }

    /// Records that a connect or a call to this incarnation failed without a response.
    pub fn record_failure(&mut self, id: &str, incarnation: Incarnation, now: Timestamp) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.incarnation == Some(incarnation) {
            member.failures = member.failures.saturating_add(1);
            member.last_failure = now;
        }
    }

    /// Records that this incarnation refused work because it is leaving.
    pub fn record_leaving(&mut self, id: &str, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.incarnation == Some(incarnation) {
            member.leaving = true;
        }
    }

    /// Records that an instance is no longer polled, so that missing heartbeats are no evidence.
    /// Its incarnation and whether it is leaving are kept.
    pub fn stop_polling(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.last_heartbeat = None;
        }
    }

    /// Sets the failure domains withdrawn by the configuration in force.
    pub fn set_withdrawn_domains(&mut self, domains: impl IntoIterator<Item = FailureDomainId>) {
        self.withdrawn = domains.into_iter().collect();
    }

    /// Returns the state of an instance at `now`.
    pub fn state(&self, id: &str, now: Timestamp) -> MemberState {
        match self.members.get(id) {
            Some(member) => self.state_of(member, now),
            None => MemberState::Unknown,
        }
    }

    /// Returns the incarnation of the last heartbeat, which requests to the instance name.
    pub fn incarnation(&self, id: &str) -> Option<Incarnation> {
        self.members.get(id)?.incarnation
    }

    /// Returns every known instance with its state, ordered by name.
    pub fn states(&self, now: Timestamp) -> Vec<(&str, MemberState)> {
        let mut states: Vec<_> = self
            .members
            .iter()
            .map(|(id, member)| (id.as_str(), self.state_of(member, now)))
            .collect();
        states.sort_unstable();
        states
    }

    /// Removes unlisted instances without a heartbeat for [`MembershipConfig::forget_after`].
    pub fn prune(&mut self, now: Timestamp) {
        let forget_after = self.config.forget_after;
        self.members.retain(|_, member| {
            let last_heartbeat = member.last_heartbeat.unwrap_or(Duration::ZERO);
            member.listed || now.saturating_sub(last_heartbeat) < forget_after
        });
    }

    fn state_of(&self, member: &Member, now: Timestamp) -> MemberState {
        let Some(last_heartbeat) = member.last_heartbeat else {
            return MemberState::Unknown;
        };
        let silence = now.saturating_sub(last_heartbeat);
        if silence >= self.config.gone_after || member.failures >= self.config.gone_after_failures {
            return MemberState::Gone;
        }
        let is_listed_leaving = member.listed_leaving == Some(member.incarnation);
        if member.leaving || is_listed_leaving || self.withdrawn.contains(&member.domain) {
            return MemberState::Leaving;
        }
        let is_delisted = member.ever_listed && !member.listed;
        if is_delisted || silence >= self.config.suspect_after || member.failures > 0 {
            return MemberState::Suspect;
        }
        MemberState::Live
    }
}
