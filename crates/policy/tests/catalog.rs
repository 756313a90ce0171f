//! Route, account and service of a request.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use jj_policy::catalog::{Account, Catalog, Denied, RequestKind, Route, Target};

fn a_route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: prefix.to_owned(),
        targets: vec![target("desk", 1)],
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(150),
        gap_target: None,
        priority: 2,
        max_attempts: 2,
        anonymous: false,
    }
}

fn target(service: &str, weight: u32) -> Target {
    Target {
        service: service.to_owned(),
        weight,
    }
}

fn catalog(routes: Vec<Route>, keys: &[(&str, Option<u32>)]) -> Catalog {
    let accounts = keys.iter().map(|(key, priority)| {
        let account = Account {
            name: format!("account of {key}"),
            priority: *priority,
        };
        ((*key).to_owned(), Arc::new(account))
    });
    Catalog {
        routes: routes.into_iter().map(Arc::new).collect(),
        keys: (!keys.is_empty()).then(|| accounts.collect()),
        ..Catalog::default()
    }
}

#[gtest]
fn longest_path_prefix_of_the_host_wins() {
    let other = Route {
        host: "other.example".to_owned(),
        ..a_route("other host", "/a/b/c/")
    };
    let catalog = catalog(
        vec![a_route("short", "/a/"), a_route("long", "/a/b/"), other],
        &[],
    );

    let names = ["/a/b/c/x", "/a/x", "/a/b", "/b/"].map(|path| {
        let found = catalog.find_route("Desk.Example", path);
        found.map_or("none", |it| it.name.as_str()).to_owned()
    });

    expect_that!(
        names,
        elements_are![eq("long"), eq("short"), eq("short"), eq("none")]
    );
}

#[gtest]
fn unknown_key_is_denied_unless_the_route_is_anonymous() {
    let open = Route {
        anonymous: true,
        ..a_route("open", "/open/")
    };
    let catalog = catalog(vec![a_route("closed", "/closed/"), open], &[("k1", None)]);

    let closed = |key| catalog.authorize("desk.example", "/closed/x", key).err();
    let open = catalog.authorize("desk.example", "/open/x", Some("unknown"));

    expect_that!(closed(Some("k1")), none());
    expect_that!(closed(Some("unknown")), some(eq(Denied::UnknownKey)));
    expect_that!(closed(None), some(eq(Denied::UnknownKey)));
    expect_that!(open.is_ok_and(|it| it.account.is_none()), eq(true));
}

#[gtest]
fn unknown_route_is_reported_before_an_unknown_key() {
    let catalog = catalog(vec![a_route("closed", "/closed/")], &[("k1", None)]);

    let denied = catalog
        .authorize("desk.example", "/gone/x", Some("unknown"))
        .err();

    expect_that!(denied, some(eq(Denied::NoRoute)));
}

#[gtest]
fn account_priority_overrides_route_priority() {
    let catalog = catalog(
        vec![a_route("r", "/r/")],
        &[("plain", None), ("urgent", Some(0))],
    );

    let priority = |key| {
        let admitted = catalog.authorize("desk.example", "/r/x", Some(key));
        admitted.map(|it| it.priority()).ok()
    };

    expect_that!(priority("plain"), some(eq(2)));
    expect_that!(priority("urgent"), some(eq(0)));
}

#[gtest]
fn requests_are_split_by_target_weight() {
    let split = Route {
        targets: vec![target("new", 10), target("old", 90), target("off", 0)],
        ..a_route("split", "/s/")
    };

    let new = (0..1_000)
        .filter(|draw| Catalog::pick_service(&split, *draw).is_some_and(|it| it == "new"));
    let off = (0..1_000)
        .filter(|draw| Catalog::pick_service(&split, *draw).is_some_and(|it| it == "off"));

    expect_that!(new.count(), eq(100));
    expect_that!(off.count(), eq(0));
}

#[gtest]
fn route_without_weights_has_no_service() {
    let unshared = Route {
        targets: vec![target("off", 0)],
        ..a_route("none", "/n/")
    };

    expect_that!(Catalog::pick_service(&unshared, 7), none());
}

#[gtest]
fn gap_target_of_a_service_is_the_smallest_of_its_routes() {
    let with_gap = |name: &str, gap| Route {
        gap_target: gap,
        ..a_route(name, "/g/")
    };
    let catalog = catalog(
        vec![
            with_gap("a", Some(Duration::from_millis(200))),
            with_gap("b", Some(Duration::from_millis(120))),
            with_gap("c", None),
        ],
        &[],
    );

    expect_that!(
        catalog.min_gap_target("desk"),
        some(eq(Duration::from_millis(120)))
    );
    expect_that!(catalog.min_gap_target("unknown"), none());
}
