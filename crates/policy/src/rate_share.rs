//! Divides a request rate that a server accepts from all entries together among the entries.
//!
//! Load pattern: one server of a service accepts few requests, because it has just started or has
//! stated a limit. It is idle and therefore the first choice of every entry, and what an entry
//! knows of the others' requests is older than the burst that follows. So each entry keeps to a
//! share of the rate that it knows without asking. In a large fleet equal shares would be so small
//! that each entry saves up its one request for a long time, and all of these together are a burst.
//! So only a few entries, chosen by rendezvous hashing, share the rate of a server.

use std::{cmp::Reverse, net::IpAddr, time::Duration};

use jj_utils::{clock::Timestamp, collections::FastMap, common_derives, ids::BackendServerId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{rate_limits::RequestRate, rendezvous};

common_derives! {value:
    /// Rate that a server accepts from all entries together.
    #[derive(Copy)]
    pub struct SharedRate {
        /// The rate.
        pub rate: RequestRate,
        /// Requests that all entries together may send at once after a time without any; at least 1.
        pub burst: f64,
    }
}

/// Lowest rate at which requests are sent to a server that states a limit, since only its responses
/// tell when the limit ends.
const MIN_RATE: RequestRate = 0.25;

/// Burst to a server that states a limit: this number of requests and those of the time below.
const LIMIT_BURST: f64 = 3.0;

/// Time whose requests may be sent at once to a server that states a limit.
const LIMIT_BURST_TIME: Duration = Duration::from_secs(1);

impl SharedRate {
    /// Returns what may be sent to a server that states a limit.
    pub fn of_limit(limit: RequestRate) -> Self {
        Self {
            rate: limit.max(MIN_RATE),
            burst: LIMIT_BURST + limit * LIMIT_BURST_TIME.as_secs_f64(),
        }
    }

    /// Returns what may be sent to a cold server that bears a rate, where `overage` times the rate
    /// and `slack` requests are accepted in any second. Half of what is above the rate is left for
    /// requests that arrive late.
    pub fn of_cold_server(rate: RequestRate, overage: f64, slack: f64) -> Self {
        let above = rate * (overage - 1.0).max(0.0) + slack;
        Self {
            rate,
            burst: (above / 2.0).max(1.0),
        }
    }
}

common_derives! {value:
    /// What one entry may send to a server.
    #[derive(Copy)]
    pub struct EntryShare {
        /// The entry's part of the rate; 0 if other entries share it.
        pub rate: RequestRate,
        /// Requests that the entry may send at once after a time without any.
        pub burst: f64,
    }
}

/// Returns the share of the entry `own` in the rate of a server, where `others` are all other
/// entries that may send requests, also those that are silent now.
pub fn entry_share(
    shared: SharedRate,
    server: &str,
    own: IpAddr,
    others: impl ExactSizeIterator<Item = IpAddr>,
) -> EntryShare {
    let holders = (shared.burst as usize).clamp(1, others.len() + 1);
    let key = rendezvous::key_hash(server);
    let own_rank = (score(key, own), own);
    let ahead = others.filter(|ip| (score(key, *ip), *ip) > own_rank);
    if ahead.count() >= holders {
        return EntryShare {
            rate: 0.0,
            burst: 0.0,
        };
    }
    EntryShare {
        rate: shared.rate / holders as f64,
        burst: (shared.burst / holders as f64).max(1.0),
    }
}

/// Returns the score of an entry for a server; the entries with the highest scores share its rate.
fn score(server_key: u64, ip: IpAddr) -> u64 {
    match ip {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), server_key),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), server_key),
    }
}

/// Requests that one entry may still send to one server.
#[derive(Debug, Clone)]
struct Allowance {
    remaining: f64,
    updated: Timestamp,
    shared: SharedRate,
    share: EntryShare,
    share_computed: Timestamp,
}

impl Allowance {
    /// Adds what has accrued up to now.
    fn accrue(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.remaining = (self.remaining + passed * self.share.rate).min(self.share.burst);
        self.updated = now;
    }
}

/// Time after which an entry's share is computed anew, since entries may have come or gone.
const SHARE_LIFETIME: Duration = Duration::from_millis(500);

/// Requests that one entry may still send to servers with a shared rate.
#[derive(Debug, Default)]
pub struct RateAllowances {
    by_server: FastMap<BackendServerId, Allowance>,
}

impl RateAllowances {
    /// Returns the number of requests that may be sent to a server now. `share_of` returns this
    /// entry's share of the rate. `draw` is a random number, so that entries don't all send their
    /// first request at the same moment.
    pub fn available(
        &mut self,
        now: Timestamp,
        server: &str,
        shared: SharedRate,
        draw: u64,
        share_of: impl Fn(SharedRate) -> EntryShare,
    ) -> u32 {
        let Some(allowance) = self.by_server.get_mut(server) else {
            let share = share_of(shared);
            let part = draw as f64 / u64::MAX as f64;
            let allowance = Allowance {
                remaining: part * share.burst.min(1.0),
                updated: now,
                shared,
                share,
                share_computed: now,
            };
            self.by_server.insert(server.to_owned(), allowance);
            return 0;
        };
        allowance.accrue(now);
        let has_expired = now >= allowance.share_computed + SHARE_LIFETIME;
        if has_expired || allowance.shared != shared {
            allowance.shared = shared;
            allowance.share = share_of(shared);
            allowance.share_computed = now;
            allowance.remaining = allowance.remaining.min(allowance.share.burst);
        }
        allowance.remaining.max(0.0) as u32
    }

    /// Deducts a request that is sent to a server; without effect if the server has no rate.
    pub fn consume(&mut self, server: &str) {
        if let Some(allowance) = self.by_server.get_mut(server) {
            allowance.remaining -= 1.0;
        }
    }

    /// Removes the allowance of a server that accepts any rate now.
    pub fn clear(&mut self, server: &str) {
        self.by_server.remove(server);
    }

    /// Returns the time until the next request may be sent to a server and the time between
    /// further ones; `None` if this entry has no share in its rate.
    pub fn next_times(&self, now: Timestamp, server: &str) -> Option<RequestTimes> {
        let allowance = self.by_server.get(server)?;
        let rate = allowance.share.rate;
        if rate <= 0.0 {
            return None;
        }
        let missing = (1.0 - allowance.remaining).max(0.0);
        let first = allowance.updated + seconds(missing / rate);
        Some(RequestTimes {
            first: first.max(now),
            interval: seconds(1.0 / rate),
        })
    }
}

/// Longest time that is computed from a rate.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// Returns a number of seconds as a duration, up to [`MAX_INTERVAL`].
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(MAX_INTERVAL, |it| it.min(MAX_INTERVAL))
}

common_derives! {copy:
    /// Times at which an entry may send requests to a server.
    pub struct RequestTimes {
        /// Time of the first one.
        pub first: Timestamp,
        /// Time between further ones.
        pub interval: Duration,
    }
}

/// Returns when the request behind `ahead` others may be sent to any of several servers; `None` if
/// there is no server.
pub fn time_of_request(times: &[RequestTimes], ahead: usize) -> Option<Timestamp> {
    let mut next: std::collections::BinaryHeap<_> = times.iter().copied().map(Reverse).collect();
    for _ in 0..ahead {
        let Reverse(mut server) = next.pop()?;
        server.first += server.interval;
        next.push(Reverse(server));
    }
    next.pop().map(|Reverse(it)| it.first)
}
