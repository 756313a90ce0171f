//! Skew and cost of rebalancing on seeded traces, against a static map and a full repack.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use jj_policy::{
    expert_map::{ExpertMap, GroupShape},
    rebalance::{RebalanceConfig, Rebalancer, repack},
    rebalance_replay::{MapPolicy, PopularityTrace, ReplayOutcome, replay},
};
use plotters::prelude::*;

use crate::experiments::popularity_traces::{Drift, generate};

/// Periods of each trace.
pub const PERIODS: u32 = 720;

/// Times that each timed decision is run.
const DECISION_RUNS: u32 = 5;

/// Groups of today, and the size to come.
pub const SHAPES: [GroupShape; 3] = [
    GroupShape {
        ranks: 8,
        experts: 32,
        slots: 6,
    },
    GroupShape {
        ranks: 16,
        experts: 64,
        slots: 6,
    },
    GroupShape {
        ranks: 64,
        experts: 128,
        slots: 4,
    },
];

const POLICIES: [(MapPolicy, &str); 3] = [
    (MapPolicy::Static, "static"),
    (MapPolicy::Repack, "full repack each period"),
    (MapPolicy::Incremental, "incremental"),
];

/// Replays every trace and returns a Markdown table. The lower bound of the skew is 1: the mean.
pub fn run(seed: u64) -> String {
    let mut table = String::from(
        "| ranks x experts (slots) | trace | policy | mean | p95 | p99 | GB moved | of repack \
         | switches | stalled s | longest decision ms (fastest of 5) |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for shape in SHAPES {
        for drift in Drift::ALL {
            let trace = generate(drift, shape, PERIODS, seed);
            let repacked = outcome(&trace, MapPolicy::Repack).loaded_bytes.max(1);
            let decision = longest_decision_ms(&trace);
            for (policy, name) in POLICIES {
                let outcome = outcome(&trace, policy);
                let took = match policy {
                    MapPolicy::Incremental => format!("{decision:.2}"),
                    _ => "-".to_owned(),
                };
                let _ = writeln!(
                    table,
                    "| {} x {} ({}) | {} | {name} | {:.3} | {:.3} | {:.3} | {:.0} | {:.1}% | {} | {:.1} | {took} |",
                    shape.ranks,
                    shape.experts,
                    shape.slots,
                    trace.name,
                    outcome.mean_imbalance(),
                    outcome.imbalance_quantile(0.95),
                    outcome.imbalance_quantile(0.99),
                    outcome.loaded_bytes as f64 / 1e9,
                    100.0 * outcome.loaded_bytes as f64 / repacked as f64,
                    outcome.switches,
                    outcome.stall_time.as_secs_f64(),
                );
            }
        }
    }
    table
}

/// Skew over time for each policy on the surge trace of the largest group, as an SVG.
///
/// # Panics
/// Never in practice: drawing into a string does not fail.
pub fn plot(seed: u64) -> String {
    let trace = generate(Drift::Surge, SHAPES[2], PERIODS, seed);
    let mut svg = String::new();
    draw(&trace, &mut svg).unwrap_or_else(|error| panic!("draw the plot: {error}"));
    svg
}

fn draw(trace: &PopularityTrace, svg: &mut String) -> anyhow::Result<()> {
    let area = SVGBackend::with_string(svg, (960, 480)).into_drawing_area();
    area.fill(&WHITE)?;
    let hours = f64::from(PERIODS) * trace.period as f64 / 60.0;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..hours, 1.0..3.0)?;
    chart.configure_mesh().draw()?;
    for ((policy, _), colour) in POLICIES.iter().zip([RED, BLUE, BLACK]) {
        let skews = outcome(trace, *policy).imbalances;
        let minutes = |index: usize| index as f64 * trace.period as f64 / 60.0;
        let points = skews.iter().enumerate();
        let points = points.map(|(index, skew)| (minutes(index), skew.min(3.0)));
        chart.draw_series(LineSeries::new(points, &colour))?;
    }
    area.present()?;
    Ok(())
}

/// Replays a trace. The map at the start fits the first counts, as after a first deployment.
pub fn outcome(trace: &PopularityTrace, policy: MapPolicy) -> ReplayOutcome {
    replay(trace, policy, RebalanceConfig::default(), start_map(trace))
}

fn start_map(trace: &PopularityTrace) -> ExpertMap {
    repack(&ExpertMap::uniform(trace.shape), &shares(&trace.truth[0]))
}

fn shares(counts: &[u32]) -> Vec<f64> {
    counts.iter().map(|count| f64::from(*count)).collect()
}

/// Longest time of a decision that starts from the uniform map, over some periods of a trace. Of
/// each decision the fastest of [`DECISION_RUNS`] counts, which leaves out other processes' turns.
fn longest_decision_ms(trace: &PopularityTrace) -> f64 {
    let decisions = trace.truth.iter().step_by(40);
    decisions
        .map(|truth| fastest_decision_ms(trace.shape, &shares(truth)))
        .fold(0.0, f64::max)
}

fn fastest_decision_ms(shape: GroupShape, popularity: &[f64]) -> f64 {
    let map = ExpertMap::uniform(shape);
    let run = |_| {
        let mut rebalancer = Rebalancer::new(RebalanceConfig::default());
        let begun = Instant::now();
        let plan = rebalancer.plan(Duration::ZERO, &map, popularity);
        let took = begun.elapsed();
        drop(plan);
        took.as_secs_f64() * 1e3
    };
    (0..DECISION_RUNS).map(run).fold(f64::INFINITY, f64::min)
}
