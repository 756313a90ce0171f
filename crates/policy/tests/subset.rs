//! Subsets have a fixed size, are balanced and spread over failure domains, and change little.

use googletest::prelude::*;
use jj_policy::subset::{Node, agents_of, entries_of};

const COUNT: usize = 6;
const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn names(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|index| format!("{prefix}{index}")).collect()
}

fn nodes(names: &[String], domains: usize) -> Vec<Node<'_>> {
    let node = |(index, id)| Node {
        id,
        domain: DOMAINS[index % domains],
    };
    names
        .iter()
        .map(String::as_str)
        .enumerate()
        .map(node)
        .collect()
}

/// Returns the names of the entries that `agent` connects to.
fn picked<'a>(agent: &str, entries: &[Node<'a>]) -> Vec<&'a str> {
    let indices = entries_of(agent, entries, COUNT);
    indices.into_iter().map(|index| entries[index].id).collect()
}

/// Naive alternative: consecutive entries from a start that depends on the number of entries.
fn consecutive<'a>(agent: usize, entries: &[Node<'a>]) -> Vec<&'a str> {
    let at = |step: usize| entries[(agent * COUNT + step) % entries.len()].id;
    (0..COUNT.min(entries.len())).map(at).collect()
}

#[gtest]
fn each_agent_has_a_fixed_number_spread_over_the_domains() {
    for (count, domains) in [(6, 3), (9, 3), (60, 3), (390, 5)] {
        let entry_names = names("entry-", count);
        let entries = nodes(&entry_names, domains);
        for agent in names("agent-", 50) {
            let picked = entries_of(&agent, &entries, COUNT);
            let in_domain = |d: &str| picked.iter().filter(|&&i| entries[i].domain == d).count();
            let sizes: Vec<usize> = DOMAINS[..domains].iter().map(|d| in_domain(d)).collect();

            expect_that!(picked.len(), eq(COUNT));
            expect_that!(
                sizes.iter().max().unwrap() - sizes.iter().min().unwrap(),
                le(1)
            );
        }
    }
}

#[gtest]
fn number_of_agents_per_entry_stays_within_three_times_the_mean() {
    let mean = |agents: usize, entries: usize| (agents * COUNT) as f64 / entries as f64;
    for (agent_count, entry_count, domains) in [(100, 60, 3), (200, 120, 5), (650, 390, 5)] {
        let (agent_names, entry_names) =
            (names("agent-", agent_count), names("entry-", entry_count));
        let (agents, entries) = (nodes(&agent_names, domains), nodes(&entry_names, domains));
        let mut agents_of_entry = vec![0_usize; entry_count];
        for agent in &agents {
            for index in entries_of(agent.id, &entries, COUNT) {
                agents_of_entry[index] += 1;
            }
        }
        let max_agents = agents_of_entry.iter().max().copied().unwrap_or(0);
        println!(
            "{agent_count} agents, {entry_count} entries: mean {:.1}, maximum {max_agents}",
            mean(agent_count, entry_count)
        );

        expect_that!(max_agents as f64, le(3.0 * mean(agent_count, entry_count)));
        expect_that!(
            agents_of_entry[3],
            eq(agents_of("entry-3", &agents, &entries, COUNT).len())
        );
    }
}

#[gtest]
fn removing_an_entry_moves_only_its_links() {
    let all = names("entry-", 60);
    let agent_names = names("agent-", 200);
    let with = nodes(&all, 3);
    let without: Vec<Node<'_>> = with
        .iter()
        .copied()
        .filter(|n| n.id != "entry-17")
        .collect();
    let moved = |before: Vec<&str>, after: Vec<&str>| {
        after.iter().filter(|id| !before.contains(id)).count()
    };

    let policy: usize = agent_names
        .iter()
        .map(|agent| moved(picked(agent, &with), picked(agent, &without)))
        .sum();
    let naive: usize = (0..agent_names.len())
        .map(|agent| moved(consecutive(agent, &with), consecutive(agent, &without)))
        .sum();
    let needed = agent_names
        .iter()
        .filter(|agent| picked(agent, &with).contains(&"entry-17"));
    let needed = needed.count();
    println!("links moved: {policy}, needed {needed}, naive {naive}");

    expect_that!(policy, eq(needed));
    expect_that!(naive, gt(3 * needed));
}
