//! What is known about each instance, merged from the live list, heartbeats and connect results.
//!
//! The live list lags in both directions, so it alone neither admits nor revives an instance: work
//! goes only where this process heard from lately. States are worked out from ages when they are
//! read, never stored: a process that was frozen believes nobody when it wakes. All evidence is
//! dated by when it was asked for, since an answer may have waited in a socket of a frozen process.

use std::time::Duration;

use jj_utils::{
    clock::Timestamp,
    collections::{FastMap, FastSet},
    common_derives,
    ids::{FailureDomainId, Incarnation, InstanceId},
};

/// Tunables of membership.
#[derive(Debug, Clone, PartialEq)]
pub struct MembershipConfig {
    /// Silence after which an instance is suspect.
    pub suspect_after: Duration,
    /// Silence after which an instance counts as gone.
    pub gone_after: Duration,
    /// Failed connects in a row after which an instance counts as gone.
    pub gone_after_failures: u32,
    /// Time for which a gone instance is remembered, so that a late message cannot revive it.
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
    /// What this process believes of one instance.
    pub enum MemberState {
        /// Heard from lately.
        Live,
        /// Silent or unreachable for a while; takes work only when nobody better is left.
        Suspect,
        /// Leaving, or in a withdrawn failure domain.
        Leaving,
        /// Dead or replaced.
        Gone,
        /// Listed, but never heard from.
        Unknown,
    }
}

impl MemberState {
    /// Whether new work may be sent there at all.
    pub fn may_take_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }
}

common_derives! {key:
    /// One line of the live list.
    pub struct ListedInstance {
        /// Name of the instance.
        pub id: InstanceId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Whether the list says that it is leaving.
        pub leaving: bool,
    }
}

common_derives! {key:
    /// What an instance says of itself.
    pub struct Heartbeat {
        /// Name of the instance.
        pub id: InstanceId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Life of the process that speaks.
        pub incarnation: Incarnation,
        /// Whether it takes no new work any more.
        pub leaving: bool,
        /// When it was asked for; the arrival time only where nothing was asked.
        pub requested_at: Timestamp,
    }
}

#[derive(Debug, Clone, Default)]
struct Member {
    domain: FailureDomainId,
    /// Life of the process that was heard from last.
    incarnation: Option<Incarnation>,
    /// That life said that it is leaving; never taken back within one life.
    leaving: bool,
    /// Life that was known when the list began to say leaving; absent while it does not.
    listed_leaving: Option<Option<Incarnation>>,
    listed: bool,
    /// The list named it once, so that its absence says something.
    was_listed: bool,
    heard: Option<Timestamp>,
    /// Failed connects in a row.
    failures: u32,
    failed: Timestamp,
}

impl Member {
    /// Starts over for a new life of the process.
    fn begin_life(&mut self, incarnation: Incarnation) {
        // A list that said leaving before any life was heard of speaks of this one.
        if self.listed_leaving == Some(None) {
            self.listed_leaving = Some(Some(incarnation));
        }
        self.incarnation = Some(incarnation);
        self.leaving = false;
        self.heard = None;
        self.failures = 0;
        self.failed = Duration::ZERO;
    }
}

/// Every instance that this process knows of.
#[derive(Debug, Default)]
pub struct Membership {
    config: MembershipConfig,
    members: FastMap<InstanceId, Member>,
    withdrawn: FastSet<FailureDomainId>,
}

impl Membership {
    /// Knows nobody yet.
    pub fn new(config: MembershipConfig) -> Self {
        Self {
            config,
            ..Self::default()
        }
    }

    /// Takes in a whole live list; instances that it omits are no longer listed.
    pub fn observe_list(&mut self, list: &[ListedInstance]) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for line in list {
            let member = self.members.entry(line.id.clone()).or_default();
            member.listed = true;
            member.was_listed = true;
            if member.heard.is_none() {
                member.domain.clone_from(&line.domain);
            }
            match (line.leaving, member.listed_leaving) {
                (true, None) => member.listed_leaving = Some(member.incarnation),
                (false, _) => member.listed_leaving = None,
                (true, Some(_)) => {}
            }
        }
    }

    /// Takes in a heartbeat; one of an earlier life is ignored.
    pub fn observe_heartbeat(&mut self, beat: &Heartbeat) {
        let member = self.members.entry(beat.id.clone()).or_default();
        if member.incarnation > Some(beat.incarnation) {
            return;
        }
        if member.incarnation != Some(beat.incarnation) {
            member.begin_life(beat.incarnation);
        }
        member.domain.clone_from(&beat.domain);
        member.leaving |= beat.leaving;
        member.heard = member.heard.max(Some(beat.requested_at));
        if beat.requested_at >= member.failed {
            member.failures = 0;
        }
    }

    /// Takes in that a connect or a call to this life failed without an answer.
    pub fn observe_failure(&mut self, id: &str, incarnation: Incarnation, now: Timestamp) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.incarnation == Some(incarnation) {
            member.failures = member.failures.saturating_add(1);
            member.failed = now;
        }
    }

    /// Takes in that this life refused work because it is leaving.
    pub fn observe_leaving(&mut self, id: &str, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.incarnation == Some(incarnation) {
            member.leaving = true;
        }
    }

    /// Takes in that an instance is asked no more, so that its silence says nothing; its life and
    /// whether it is leaving are remembered.
    pub fn stop_polling(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard = None;
        }
    }

    /// Takes in which failure domains the configuration in force withdraws.
    pub fn set_withdrawn_domains(&mut self, domains: impl IntoIterator<Item = FailureDomainId>) {
        self.withdrawn = domains.into_iter().collect();
    }

    /// What is believed of an instance now.
    pub fn state(&self, id: &str, now: Timestamp) -> MemberState {
        match self.members.get(id) {
            Some(member) => self.state_of(member, now),
            None => MemberState::Unknown,
        }
    }

    /// Life of the process that was heard from last; a request names it.
    pub fn incarnation(&self, id: &str) -> Option<Incarnation> {
        self.members.get(id)?.incarnation
    }

    /// Every known instance with its state, ordered by name.
    pub fn states(&self, now: Timestamp) -> Vec<(&str, MemberState)> {
        let mut states: Vec<_> = self
            .members
            .iter()
            .map(|(id, member)| (id.as_str(), self.state_of(member, now)))
            .collect();
        states.sort_unstable();
        states
    }

    /// Forgets instances that are unlisted and have been silent for long.
    pub fn prune(&mut self, now: Timestamp) {
        let forget_after = self.config.forget_after;
        self.members.retain(|_, member| {
            let heard = member.heard.unwrap_or(Duration::ZERO);
            member.listed || now.saturating_sub(heard) < forget_after
        });
    }

    fn state_of(&self, member: &Member, now: Timestamp) -> MemberState {
        let Some(heard) = member.heard else {
            return MemberState::Unknown;
        };
        let silence = now.saturating_sub(heard);
        if silence >= self.config.gone_after || member.failures >= self.config.gone_after_failures {
            return MemberState::Gone;
        }
        let list_says = member.listed_leaving == Some(member.incarnation);
        if member.leaving || list_says || self.withdrawn.contains(&member.domain) {
            return MemberState::Leaving;
        }
        let unlisted = member.was_listed && !member.listed;
        if unlisted || silence >= self.config.suspect_after || member.failures > 0 {
            return MemberState::Suspect;
        }
        MemberState::Live
    }
}
