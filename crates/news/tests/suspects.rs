//! Size of the largest news of suspects.

use std::time::Duration;

use googletest::prelude::*;
use jj_news::{MAX_DATAGRAM_BYTES, Message, SuspectExchange};
use jj_policy::{
    crash_reports::{
        self, MAX_CRASHES, MAX_LOST_REQUESTS, MAX_PARTS, MAX_PLAIN_REQUESTS, MAX_REQUESTS,
        RequestPart,
    },
    crash_suspects::CrashSuspects,
};

#[gtest]
fn news_of_the_most_crashes_and_parts_fit_into_a_datagram() {
    let mut suspects = CrashSuspects::default();
    let mut next_part = u64::MAX;
    let mut parts = |count: usize| -> Vec<RequestPart> {
        let parts = (0..count).map(|_| {
            next_part -= 1;
            next_part
        });
        crash_reports::request_parts(parts, None)
    };
    for crash in 0..2 * MAX_CRASHES as u32 {
        let plain = [1; 2 * MAX_PLAIN_REQUESTS];
        for count in [MAX_PARTS; 2 * MAX_REQUESTS].into_iter().chain(plain) {
            let lost = parts(count);
            suspects.record_served(Duration::from_secs(1), &lost);
            suspects.record_crash(Duration::from_secs(2), u32::MAX - crash, &lost);
        }
    }

    let news = suspects.news(Duration::from_secs(50)).unwrap();
    let message = Message::Suspects(SuspectExchange {
        news,
        is_starting: false,
        lost: Vec::new(),
    });
    let bytes = message.encode().unwrap();

    expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
    expect_that!(Message::decode(&bytes), some(eq(&message)));
}

#[gtest]
fn news_of_the_most_lost_requests_fit_into_a_datagram() {
    let mut suspects = CrashSuspects::default();
    let mut next_request = u64::MAX;
    for crash in 0..200 {
        for _ in 0..2 * MAX_LOST_REQUESTS {
            next_request -= 1;
            let parts = (0..MAX_PARTS as u64).map(|it| next_request - 1_000 * (it + 1));
            let lost = crash_reports::request_parts(parts, Some(next_request));
            suspects.record_served(Duration::from_secs(1), &lost);
            suspects.record_crash(Duration::from_secs(2), u32::MAX - crash, &lost);
        }
    }

    let now = Duration::from_secs(50);
    let (served, lost) = suspects.lost_news(now).unwrap();
    for (news, lost) in [(suspects.news(now).unwrap(), Vec::new()), (served, lost)] {
        let message = Message::Suspects(SuspectExchange {
            news,
            is_starting: false,
            lost,
        });
        let bytes = message.encode().unwrap();

        println!("{} bytes", bytes.len());
        expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
        expect_that!(Message::decode(&bytes), some(eq(&message)));
    }
}

/// Entries of the build before this one know nothing of lost requests.
#[gtest]
fn news_without_lost_requests_are_read() {
    let message = Message::Suspects(SuspectExchange::default());
    let bytes = message.encode().unwrap();
    let without_last_field = &bytes[..bytes.len() - 1];

    expect_that!(Message::decode(without_last_field), some(eq(&message)));
}
