//! Size of the largest news of suspects.

use std::time::Duration;

use googletest::prelude::*;
use jj_news::{MAX_DATAGRAM_BYTES, Message, SuspectExchange};
use jj_policy::crash_suspects::{CrashSuspects, MAX_CRASHES, MAX_PARTS, MAX_REQUESTS};

#[gtest]
fn news_of_the_most_crashes_and_parts_fit_into_a_datagram() {
    let mut suspects = CrashSuspects::default();
    let mut next_part = u64::MAX;
    let mut parts = || -> Vec<u64> {
        let parts = (0..MAX_PARTS).map(|_| {
            next_part -= 1;
            next_part
        });
        parts.collect()
    };
    for crash in 0..2 * MAX_CRASHES as u32 {
        for _ in 0..2 * MAX_REQUESTS {
            let lost = parts();
            suspects.record_served(Duration::from_secs(1), &lost);
            suspects.record_crash(Duration::from_secs(2), u32::MAX - crash, &lost);
        }
    }

    let news = suspects.news(Duration::from_secs(50)).unwrap();
    let message = Message::Suspects(SuspectExchange {
        news,
        is_starting: false,
    });
    let bytes = message.encode().unwrap();

    expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
    expect_that!(Message::decode(&bytes), some(eq(&message)));
}
