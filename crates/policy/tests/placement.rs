//! Which server of a service takes a request, and how long a request may wait for one.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::placement::{PlacementConfig, ServerCandidate, WaitLimit, choose_server};

fn candidate(id: &str, own: u32, others: u32) -> ServerCandidate {
    ServerCandidate {
        id: id.to_owned(),
        is_same_domain: true,
        slots: 10,
        local_requests: own,
        remote_requests: others,
        is_avoided: false,
        cold_allowance: None,
        was_tried: false,
    }
}

fn chosen(candidates: &[ServerCandidate]) -> Option<String> {
    choose_server(&PlacementConfig::default(), candidates, 0).map(|it| it.id.clone())
}

#[gtest]
fn the_server_with_the_least_load_of_all_processes_is_chosen() {
    let candidates = [
        candidate("a", 3, 0),
        candidate("b", 0, 4),
        candidate("c", 1, 1),
    ];

    expect_that!(chosen(&candidates), some(eq("c")));
}

#[gtest]
fn a_server_far_away_is_chosen_only_when_its_load_is_clearly_lower() {
    let far = |own| ServerCandidate {
        is_same_domain: false,
        ..candidate("far", own, 0)
    };

    expect_that!(chosen(&[far(2), candidate("near", 2, 0)]), some(eq("near")));
    expect_that!(chosen(&[far(2), candidate("near", 3, 0)]), some(eq("near")));
    expect_that!(chosen(&[far(1), candidate("near", 3, 0)]), some(eq("far")));
}

#[gtest]
fn equal_servers_get_equal_parts() {
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
fn a_server_that_is_avoided_is_chosen_when_no_other_has_room() {
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
        cold_allowance: Some(0),
        ..candidate("cold", 0, 0)
    };

    expect_that!(chosen(&[candidate("full", 4, 6), tried, cold]), none());
}

#[gtest]
fn a_request_waits_for_part_of_its_aim_and_never_beyond_its_deadline() {
    let bound = |deadline| WaitLimit {
        arrived: Duration::from_secs(1),
        target_latency: Duration::from_millis(400),
        deadline,
    };

    expect_that!(
        bound(Duration::from_secs(9)).reject_at(),
        eq(Duration::from_millis(1_180))
    );
    expect_that!(
        bound(Duration::from_millis(1_050)).reject_at(),
        eq(Duration::from_millis(1_050))
    );
}
