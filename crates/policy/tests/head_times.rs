//! Whether heads of streams are known to precede the run of their requests.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::head_times::HeadTimes;

/// Returns what is known after streams with these times from head to first event.
fn after(leads_ms: impl IntoIterator<Item = u64>) -> HeadTimes {
    let mut times = HeadTimes::default();
    for lead in leads_ms {
        times.record(Duration::from_millis(lead));
    }
    times
}

#[gtest]
fn nothing_is_believed_of_heads_before_enough_streams_have_shown_it() {
    expect_that!(after([]).precedes_run(), eq(false));
    expect_that!(after([80; 7]).precedes_run(), eq(false));
    expect_that!(after([80; 8]).precedes_run(), eq(true));
}

/// Guards against the belief that a stream without a head waits, where heads come with the first event.
#[gtest]
fn heads_that_come_with_the_first_event_precede_nothing() {
    let mixed = (0..32).map(|number| 80 * (number % 2));

    expect_that!(after([0; 32]).precedes_run(), eq(false));
    expect_that!(after(mixed).precedes_run(), eq(false));
}

#[gtest]
fn servers_that_change_are_noticed() {
    let changed = [80; 40].into_iter().chain([0; 8]);

    expect_that!(after(changed).precedes_run(), eq(false));
}
