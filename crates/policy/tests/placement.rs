//! Choice of a server for a request, and the time that a request may be queued.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::placement::{PlacementConfig, ServerCandidate, WaitLimit, choose_server};

/// Returns a warm server with 10 slots in the same failure domain.
fn candidate(id: &str, local_requests: u32, remote_requests: u32) -> ServerCandidate {
    ServerCandidate {
        id: id.to_owned(),
        is_same_domain: true,
        slots: 10,
        local_requests,
        remote_requests,
        is_avoided: false,
        failed_part: 0.0,
        allowance: None,
        was_tried: false,
    }
}

fn chosen(candidates: &[ServerCandidate]) -> Option<String> {
    choose_server(&PlacementConfig::default(), candidates, 0).map(|it| it.id.clone())
}

#[gtest]
fn server_with_the_lowest_total_load_is_chosen() {
    let candidates = [
        candidate("a", 3, 0),
        candidate("b", 0, 4),
        candidate("c", 1, 1),
    ];

    expect_that!(chosen(&candidates), some(eq("c")));
}

#[gtest]
fn server_in_another_domain_is_chosen_only_if_less_loaded_by_more_than_the_penalty() {
    let other_domain = |local_requests| ServerCandidate {
        is_same_domain: false,
        ..candidate("far", local_requests, 0)
    };

    expect_that!(
        chosen(&[other_domain(2), candidate("near", 2, 0)]),
        some(eq("near"))
    );
    expect_that!(
        chosen(&[other_domain(2), candidate("near", 3, 0)]),
        some(eq("near"))
    );
    expect_that!(
        chosen(&[other_domain(1), candidate("near", 3, 0)]),
        some(eq("far"))
    );
}

#[gtest]
fn equally_loaded_servers_get_equal_shares() {
    let candidates = [
        candidate("a", 1, 0),
        candidate("b", 1, 0),
        candidate("c", 1, 0),
    ];
    let config = PlacementConfig::default();

    let mut counts = [0, 0, 0];
    for draw in 0..300 {
        let id = choose_server(&config, &candidates, draw).map(|it| it.id.as_str());
        counts[["a", "b", "c"]
            .iter()
            .position(|it| Some(*it) == id)
            .unwrap()] += 1;
    }

    expect_that!(counts, eq([100, 100, 100]));
}

#[gtest]
fn avoided_server_is_chosen_only_if_no_other_has_room() {
    let avoided = ServerCandidate {
        is_avoided: true,
        ..candidate("avoided", 0, 0)
    };

    expect_that!(
        chosen(&[avoided.clone(), candidate("busy", 9, 0)]),
        some(eq("busy"))
    );
    expect_that!(
        chosen(&[avoided, candidate("full", 10, 0)]),
        some(eq("avoided"))
    );
}

#[gtest]
fn full_tried_and_cold_servers_have_no_room() {
    let tried = ServerCandidate {
        was_tried: true,
        ..candidate("tried", 0, 0)
    };
    let cold = ServerCandidate {
        allowance: Some(0),
        ..candidate("cold", 0, 0)
    };

    expect_that!(chosen(&[candidate("full", 4, 6), tried, cold]), none());
}

#[gtest]
fn request_waits_for_part_of_its_target_latency_and_not_past_its_deadline() {
    let limit = |deadline| WaitLimit {
        arrived: Duration::from_secs(1),
        target_latency: Duration::from_millis(400),
        deadline,
    };

    expect_that!(
        limit(Duration::from_secs(9)).reject_at(),
        eq(Duration::from_millis(1_180))
    );
    expect_that!(
        limit(Duration::from_millis(1_050)).reject_at(),
        eq(Duration::from_millis(1_050))
    );
}
