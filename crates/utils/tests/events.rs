//! Event catalogue, and its agreement with docs/EVENTS.md, the page for operators.

use googletest::prelude::*;
use jj_utils::events::ALL;

fn read_events_page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    std::fs::read_to_string(path).expect("docs/EVENTS.md is readable")
}

/// Returns the start of the table row for an event.
fn row_start(event: &jj_utils::events::Event) -> String {
    let level = event.level.as_str().to_lowercase();
    format!("| JJ-{} | {} | {level} |", event.code, event.name)
}

#[gtest]
fn events_page_lists_exactly_the_catalogue() {
    let page = read_events_page();
    let event_rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| JJ-"))
        .collect();

    for event in ALL {
        let start = row_start(event);
        let matching = event_rows.iter().filter(|line| line.starts_with(&start));
        expect_that!(matching.count(), eq(1), "{start}");
    }
    expect_that!(event_rows.len(), eq(ALL.len()));
}

#[gtest]
fn event_codes_ascend_and_names_are_unique() {
    let codes: Vec<u16> = ALL.iter().map(|event| event.code).collect();
    let mut names: Vec<&str> = ALL.iter().map(|event| event.name).collect();
    names.sort_unstable();
    names.dedup();

    expect_that!(codes.is_sorted_by(|before, after| before < after), eq(true));
    expect_that!(names.len(), eq(ALL.len()));
}
