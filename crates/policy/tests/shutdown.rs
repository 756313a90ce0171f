//! Which requests an entry accepts while it shuts down.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    response_times::{ResponseForecast, ResponseTimes},
    shutdown::{Shutdown, ShutdownRequest},
};

const BEGAN: Duration = Duration::from_secs(100);
const GRACE: Duration = Duration::from_millis(7_600);

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

fn at(after: f64) -> Duration {
    BEGAN + seconds(after)
}

/// Returns a request whose time limit ends `limit` seconds after the shutdown began, with the times
/// that its response will take.
fn request(limit: f64, usual: f64, cautious: f64) -> ShutdownRequest {
    ShutdownRequest {
        deadline: at(limit),
        is_repeatable: true,
        forecast: ResponseForecast {
            usual: seconds(usual),
            cautious: seconds(cautious),
        },
    }
}

fn is_near(actual: Duration, expected: Duration) -> bool {
    actual.abs_diff(expected) < Duration::from_millis(2)
}

/// Guards against requests that are accepted and then cut off as the process ends.
#[gtest]
fn request_is_sent_only_while_its_response_ends_before_the_process() {
    let shutdown = Shutdown::new(BEGAN, GRACE);
    let cases = [
        // End of the time limit, usual and cautious time; last time at which it is sent.
        ("limit ends first", 7.4, 7.0, 7.0, 7.4_f64),
        (
            "limit ends later, by the shorter of its times",
            9.0,
            6.0,
            5.0,
            2.45,
        ),
        ("by its usual time, early", 9.0, 5.0, 7.0, 2.45),
        ("by its usual time, later", 9.0, 0.1, 7.0, 2.9),
        ("by its usual time, always too late", 9.0, 7.6, 8.0, -0.15),
    ];
    for (name, limit, usual, cautious, expected) in cases {
        let request = request(limit, usual, cautious);

        let latest = shutdown.latest_send(&request);

        let expected = BEGAN + seconds(expected.max(0.0)) - seconds((-expected).max(0.0));
        expect_that!(is_near(latest, expected), eq(true), "{name}: {latest:?}");
    }
}

/// Guards against requests that are accepted late in a shutdown since others before them were short (LOST):
/// then only their own time limit counts, whatever the forecast, the grace period and the kind.
#[gtest]
fn no_forecast_accepts_a_request_late_in_a_shutdown() {
    for grace in [2.0, 4.0, 7.6, 29.6] {
        let shutdown = Shutdown::new(BEGAN, seconds(grace));
        for forecast in [0.0, 0.01, 0.5, 2.0, 20.0] {
            for is_repeatable in [false, true] {
                for limit in [1.0, 3.5, 7.0, 8.0, 40.0] {
                    let request = ShutdownRequest {
                        is_repeatable,
                        ..request(limit, forecast, forecast)
                    };

                    let latest = shutdown.latest_send(&request);

                    let ends_in_time = request.deadline <= shutdown.final_responses_at();
                    let case = (grace, forecast, is_repeatable, limit);
                    match ends_in_time {
                        true => expect_that!(latest, eq(request.deadline), "{case:?}"),
                        false => expect_that!(latest, le(at(3.0)), "{case:?}"),
                    };
                }
            }
        }
    }
}

/// Guards against a request that may not be repeated and is cut off since it took longer than usual.
#[gtest]
fn request_that_may_not_be_repeated_is_sent_by_its_cautious_time_only() {
    let shutdown = Shutdown::new(BEGAN, GRACE);
    let request = ShutdownRequest {
        is_repeatable: false,
        ..request(9.0, 0.1, 5.0)
    };

    let latest = shutdown.latest_send(&request);

    expect_that!(is_near(latest, at(2.45)), eq(true), "{latest:?}");
}

#[gtest]
fn short_grace_period_leaves_time_for_the_last_responses() {
    let shutdown = Shutdown::new(BEGAN, Duration::from_millis(100));

    expect_that!(shutdown.final_responses_at(), le(shutdown.ends()));
    expect_that!(shutdown.latest_send(&request(0.2, 0.01, 0.1)), lt(BEGAN));
}

/// Returns the durations of responses that took these numbers of milliseconds.
fn times(durations_ms: impl IntoIterator<Item = u64>) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for duration in durations_ms {
        let ticket = times.begin(BEGAN);
        times.end(BEGAN + Duration::from_millis(duration), ticket, true);
    }
    times
}

const LIMIT: Duration = Duration::from_secs(8);

/// Returns the usual and the cautious time in milliseconds.
fn forecast_ms(times: &ResponseTimes, after: f64) -> (u128, u128) {
    let forecast = times.forecast(at(after), LIMIT);
    (forecast.usual.as_millis(), forecast.cautious.as_millis())
}

#[gtest]
fn usual_time_covers_nearly_all_of_the_last_64_responses() {
    let times = times(1..=200);

    let (usual, cautious) = forecast_ms(&times, 0.0);

    // The last 64 took 137 to 200 ms.
    expect_that!(usual, all![ge(195), le(200)]);
    expect_that!(cautious, eq(400));
}

/// Guards against the opposite error, an entry that knows a few responses and rejects by the time
/// limit, and against one that knows nothing and expects short ones.
#[gtest]
fn few_responses_say_more_than_the_time_limit_and_none_say_nothing() {
    expect_that!(forecast_ms(&times([]), 0.0), eq((4_640, 5_200)));
    expect_that!(forecast_ms(&times([300; 3]), 0.0), eq((4_640, 5_200)));
    expect_that!(forecast_ms(&times([300; 4]), 0.0), eq((600, 600)));
    expect_that!(forecast_ms(&times([5_000; 4]), 0.0), eq((8_000, 8_000)));
}

/// Guards against forecasts that know only of short responses while longer ones are in progress.
#[gtest]
fn responses_in_progress_prolong_the_forecast() {
    let mut none_ended = ResponseTimes::default();
    none_ended.begin(BEGAN);
    let mut many_ended = times([300; 20]);
    let ticket = many_ended.begin(BEGAN);

    expect_that!(forecast_ms(&none_ended, 1.0), eq((4_640, 5_200)));
    expect_that!(forecast_ms(&none_ended, 2.5), eq((5_000, 5_200)));
    expect_that!(forecast_ms(&none_ended, 3.0), eq((6_000, 6_000)));
    expect_that!(forecast_ms(&many_ended, 3.0), eq((300, 6_000)));

    many_ended.end(at(3.0), ticket, false);

    expect_that!(forecast_ms(&many_ended, 3.0), eq((300, 600)));
}
