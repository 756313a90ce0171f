//! Entries of a fleet in a message: the names of failure domains are told once.

use std::{net::IpAddr, time::Duration};

use jj_policy::gossip::{EntryState, HeartbeatCount, IncarnationTag, MemberStatus};
use jj_utils::{common_derives, ids::FailureDomainId};

/// Unit in which ages are told.
const AGE_UNIT: Duration = Duration::from_millis(20);

common_derives! {wire:
    /// One entry.
    #[derive(Copy, Eq)]
    struct MemberRow {
        ip: IpAddr,
        life: IncarnationTag,
        beat: HeartbeatCount,
        /// Time since the beat was heard, in units of [`AGE_UNIT`].
        age: u8,
        /// Index of its failure domain.
        domain: u16,
        standing: EntryState,
    }
}

common_derives! {wire:
    /// Entries, and the failure domains that they are in.
    #[derive(Eq)]
    pub struct MemberTable {
        domains: Vec<FailureDomainId>,
        rows: Vec<MemberRow>,
    }
}

impl From<Vec<MemberStatus>> for MemberTable {
    fn from(news: Vec<MemberStatus>) -> Self {
        let mut domains: Vec<FailureDomainId> = Vec::new();
        let rows = news.into_iter().map(|it| {
            let known = domains.iter().position(|domain| *domain == it.domain);
            let domain = known.unwrap_or_else(|| {
                domains.push(it.domain);
                domains.len() - 1
            });
            MemberRow {
                ip: it.ip,
                life: it.incarnation,
                beat: it.heartbeat,
                age: units(it.heartbeat_age),
                domain: domain as u16,
                standing: it.state,
            }
        });
        let rows = rows.collect();
        Self { domains, rows }
    }
}

/// An age in units, rounded up.
fn units(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(u8::MAX)
}

impl From<MemberTable> for Vec<MemberStatus> {
    /// Rows of an unknown failure domain are left out.
    fn from(table: MemberTable) -> Self {
        let MemberTable { domains, rows } = table;
        let news = rows.into_iter().filter_map(|it| {
            Some(MemberStatus {
                ip: it.ip,
                incarnation: it.life,
                heartbeat: it.beat,
                heartbeat_age: AGE_UNIT * u32::from(it.age),
                domain: domains.get(usize::from(it.domain))?.clone(),
                state: it.standing,
            })
        });
        news.collect()
    }
}
