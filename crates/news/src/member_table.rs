//! Compact table of a fleet's entries in a message: each failure domain is named once.

use std::{net::IpAddr, time::Duration};

use jj_policy::gossip::{EntryState, HeartbeatCount, IncarnationTag, MemberStatus};
use jj_utils::{common_derives, ids::FailureDomainId};

/// Resolution of ages in the table; with one byte an age of up to 5.1 seconds can be stated.
const AGE_UNIT: Duration = Duration::from_millis(20);

common_derives! {wire:
    /// State of one entry.
    #[derive(Copy, Eq)]
    struct MemberRow {
        ip: IpAddr,
        incarnation: IncarnationTag,
        heartbeat: HeartbeatCount,
        /// Time since the last new beat was received, in units of [`AGE_UNIT`].
        age: u8,
        /// Index of its failure domain in [`MemberTable::domains`].
        domain: u16,
        state: EntryState,
    }
}

common_derives! {wire:
    /// Entries of a fleet and the failure domains that they are in.
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
                incarnation: it.incarnation,
                heartbeat: it.heartbeat,
                age: age_units(it.heartbeat_age),
                domain: domain as u16,
                state: it.state,
            }
        });
        let rows = rows.collect();
        Self { domains, rows }
    }
}

/// Converts an age to units of [`AGE_UNIT`], rounded up; longer ages become the largest one.
fn age_units(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(u8::MAX)
}

impl From<MemberTable> for Vec<MemberStatus> {
    /// Leaves out rows whose failure domain is not in the table.
    fn from(table: MemberTable) -> Self {
        let MemberTable { domains, rows } = table;
        let news = rows.into_iter().filter_map(|it| {
            Some(MemberStatus {
                ip: it.ip,
                incarnation: it.incarnation,
                heartbeat: it.heartbeat,
                heartbeat_age: AGE_UNIT * u32::from(it.age),
                domain: domains.get(usize::from(it.domain))?.clone(),
                state: it.state,
            })
        });
        news.collect()
    }
}
