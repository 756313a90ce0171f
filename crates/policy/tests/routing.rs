//! The choice of a backend server.

use std::time::Duration;

use googletest::prelude::*;
use jj_policy::{
    membership::MemberState,
    routing::{Candidate, LoadReport, RequestFacts, RoutingConfig, choose},
};

const NOW: Duration = Duration::from_secs(100);

fn candidate(id: &str, in_flight: u32) -> Candidate<'_> {
    Candidate {
        id,
        domain: "a",
        state: MemberState::Live,
        distance: Duration::from_micros(100),
        report: Some(LoadReport {
            in_flight,
            queued: 0,
            limit: 8,
            service: Duration::from_millis(800),
            at: NOW,
        }),
        own_since: 0,
        prefix_hit: 0.0,
        not_before: Duration::ZERO,
    }
}

fn request() -> RequestFacts<'static> {
    RequestFacts {
        prefix: None,
        account: 1,
        share: 1.0,
        used: 0.0,
        prefill: Duration::from_millis(200),
        deadline: NOW + Duration::from_secs(30),
        tried: &[],
    }
}

/// The chosen server's name for every pair of small draws.
fn chosen<'a>(candidates: &[Candidate<'a>], request: &RequestFacts<'_>) -> Vec<&'a str> {
    let config = RoutingConfig::default();
    let draws = (0..4).flat_map(|a| (0..3).map(move |b| [a, b]));
    let mut names: Vec<&str> = draws
        .filter_map(|draw| choose(&config, candidates, request, NOW, draw).ok())
        .map(|choice| candidates[choice.index].id)
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

#[gtest]
fn each_fact_excludes_or_prefers() {
    let base = || vec![candidate("a", 4), candidate("b", 4)];
    let with = |change: &dyn Fn(&mut Candidate<'_>)| {
        let mut all = base();
        change(&mut all[0]);
        all
    };
    let late = NOW + Duration::from_secs(1);
    let cases: Vec<(&str, Vec<Candidate<'_>>)> = vec![
        ("leaving", with(&|c| c.state = MemberState::Leaving)),
        ("gone", with(&|c| c.state = MemberState::Gone)),
        ("suspect", with(&|c| c.state = MemberState::Suspect)),
        ("refused", with(&|c| c.not_before = late)),
        ("own requests", with(&|c| c.own_since = 9)),
        ("far", with(&|c| c.distance = Duration::from_millis(5))),
    ];

    for (name, candidates) in cases {
        expect_that!(
            chosen(&candidates, &request()),
            elements_are![eq(&"b")],
            "{name}"
        );
    }
}
