//! A failure domain leaves, announced or cut without notice, and returns cold; and half the model
//! servers vanish at full load.

use std::{fmt::Write, ops::Range, time::Duration};

use jj_policy::routing::RoutingConfig;
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use super::queueing::{
    fleet::{Fault, RunConfig, run as simulate},
    outcome::{Ended, Outcome, attempts, first_token, percent},
    router::Method,
    traffic::{Service, Workload, generate, hangang, kalahari},
};

/// When the failure domain leaves and returns.
const LEAVES: u64 = 60;
const RETURNS: u64 = 100;
const END: u64 = 160;

/// Time after which a fault counts as detected: silent attempts are given up, and the retries of
/// what was in flight are done.
const DETECTED: u64 = LEAVES + 8;

/// Least part of the goodput before a fault that counts as being back.
const BACK: f64 = 0.95;

struct Scenario {
    name: &'static str,
    faults: Vec<(Duration, Fault)>,
    /// Factor on the load: what is left of the fleet must be able to bear it.
    load: f64,
}

fn at(second: u64, fault: Fault) -> (Duration, Fault) {
    (Duration::from_secs(second), fault)
}

fn scenarios() -> Vec<Scenario> {
    let scenario = |name, leave, back, load| Scenario {
        name,
        faults: vec![at(LEAVES, leave), at(RETURNS, back)],
        load,
    };
    vec![
        scenario("announced", Fault::Withdraw(1), Fault::Return(1), 0.8),
        scenario("cut without notice", Fault::Cut(1), Fault::Return(1), 0.8),
    ]
}

/// The windows of the tables.
fn windows() -> Vec<(&'static str, Range<Duration>)> {
    let span = |from: u64, until: u64| Duration::from_secs(from)..Duration::from_secs(until);
    vec![
        ("before", span(40, LEAVES)),
        ("leaving", span(LEAVES, DETECTED)),
        ("gone", span(DETECTED, RETURNS)),
        ("returning, cold", span(RETURNS, RETURNS + 20)),
        ("after", span(RETURNS + 20, END - 10)),
    ]
}

fn scaled(workload: Workload, load: f64) -> Workload {
    Workload {
        model_rate: workload.model_rate * load,
        desk_rate: workload.desk_rate * load,
        length: Duration::from_secs(END),
        ..workload
    }
}

fn outcome(
    workload: &Workload,
    faults: &[(Duration, Fault)],
    method: Method,
    seed: u64,
) -> Outcome {
    let config = RunConfig {
        method,
        routing: RoutingConfig::default(),
        workload: workload.clone(),
        faults: faults.to_vec(),
        seed,
        single_queue: false,
    };
    simulate(&config, &generate(workload, seed))
}

/// Requests without an answer while a failure domain leaves and returns, under the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Failures {
    /// Deployment and way of leaving.
    pub name: String,
    /// Idempotent requests that failed in the whole run.
    pub all: usize,
    /// Those of them sent once the fault had been detected.
    pub after_detection: usize,
    /// Highest load of a server over what it bore at that moment.
    pub strain: f64,
    /// Attempts for each request.
    pub attempts: f64,
}

/// Failures of both deployments, announced and cut without notice.
pub fn failures(seed: u64) -> Vec<Failures> {
    let all = scenarios();
    let pairs = all.iter().flat_map(|s| [(s, hangang()), (s, kalahari())]);
    pairs
        .map(|(scenario, workload)| {
            let workload = scaled(workload, scenario.load);
            let outcome = outcome(&workload, &scenario.faults, Method::Policy, seed);
            let failed = |from: u64| {
                let span = Duration::from_secs(from)..Duration::from_secs(END);
                outcome.within(span, |e| e.idempotent && is_failed(e)).len()
            };
            let run = Duration::from_secs(40)..Duration::from_secs(END);
            Failures {
                name: format!("{}, {}", workload.name, scenario.name),
                all: failed(40),
                after_detection: failed(DETECTED),
                strain: outcome.strain(run.clone()),
                attempts: attempts(&outcome.within(run, |_| true)),
            }
        })
        .collect()
}

/// Attempts for each request taken in while half the model servers are gone at full load.
pub fn overload_attempts(seed: u64) -> Vec<f64> {
    let of = |workload: Workload| {
        let outcome = overload_outcome(&scaled(workload, FULL_LOAD), Method::Policy, seed);
        let gone = Duration::from_secs(LOST_AT)..Duration::from_secs(RESTORED_AT);
        attempts(&outcome.within(gone, |_| true))
    };
    vec![of(hangang()), of(kalahari())]
}

/// Seconds from the moment at which half the model servers are warm again until the goodput is
/// back, in each deployment; none if it never is.
pub fn seconds_to_goodput(seed: u64) -> Vec<Option<u64>> {
    let of = |workload: Workload| {
        let outcome = overload_outcome(&scaled(workload, FULL_LOAD), Method::Policy, seed);
        seconds_back(&outcome)
    };
    vec![of(hangang()), of(kalahari())]
}

/// Tables of both experiments, in Markdown.
pub fn run(seed: u64) -> String {
    let mut text = String::new();
    for scenario in scenarios() {
        for workload in [hangang(), kalahari()] {
            let workload = scaled(workload, scenario.load);
            let _ = writeln!(text, "### {}, {}\n", workload.name, scenario.name);
            text.push_str(
                "| method | window | idempotent failed | once-only failed | late or failed % \
                 | first token p99 ms | load over what is borne | attempts |\n\
                 |---|---|---|---|---|---|---|---|\n",
            );
            for method in [Method::RoundRobin, Method::HotCold, Method::Policy] {
                let outcome = outcome(&workload, &scenario.faults, method, seed);
                for (name, window) in windows() {
                    text.push_str(&row(&outcome, method, name, window));
                }
            }
            text.push('\n');
        }
    }
    text.push_str(&overload(seed));
    text
}

/// A request without a whole answer, in time or not.
fn is_failed(ended: &Ended) -> bool {
    !ended.whole
}

fn row(outcome: &Outcome, method: Method, name: &str, window: Range<Duration>) -> String {
    let all = outcome.within(window.clone(), |_| true);
    let model = outcome.within(window.clone(), |e| e.service == Service::Model);
    let failed = |idempotent: bool| {
        let matching = all.iter().filter(|e| e.idempotent == idempotent);
        matching.filter(|e| is_failed(e)).count()
    };
    format!(
        "| {} | {name} | {} | {} | {:.2} | {:.0} | {:.2} | {:.3} |\n",
        method.name(),
        failed(true),
        failed(false),
        percent(&all, |e| !e.in_time),
        first_token(&model, 0.99),
        outcome.strain(window),
        attempts(&all),
    )
}

/// Half the model servers vanish at full load and are back cold after 30 s.
fn overload(seed: u64) -> String {
    let mut text = String::from(
        "### Half the model servers gone at full load, back cold after 30 s\n\n\
         | deployment | method | goodput before /s | during | after | s to 95% after warm-up \
         | attempts during |\n|---|---|---|---|---|---|---|\n",
    );
    for workload in [hangang(), kalahari()] {
        let workload = scaled(workload, FULL_LOAD);
        for method in [Method::RoundRobin, Method::HotCold, Method::Policy] {
            text.push_str(&overload_row(&workload, method, seed));
        }
    }
    text
}

const LOST_SERVERS: usize = 8;
const LOST_AT: u64 = 60;
const RESTORED_AT: u64 = 90;
/// When the restored servers are warm.
const WARM_AT: u64 = RESTORED_AT + 15;

/// Factor on the load at which every server is needed.
const FULL_LOAD: f64 = 1.2;

fn overload_outcome(workload: &Workload, method: Method, seed: u64) -> Outcome {
    let faults = [
        at(LOST_AT, Fault::Lose(LOST_SERVERS)),
        at(RESTORED_AT, Fault::Restore(LOST_SERVERS)),
    ];
    outcome(workload, &faults, method, seed)
}

fn overload_row(workload: &Workload, method: Method, seed: u64) -> String {
    let outcome = overload_outcome(workload, method, seed);
    let gone = Duration::from_secs(LOST_AT)..Duration::from_secs(RESTORED_AT);
    format!(
        "| {} | {} | {:.1} | {:.1} | {:.1} | {} | {:.3} |\n",
        workload.name,
        method.name(),
        goodput(&outcome, 40, LOST_AT),
        goodput(&outcome, LOST_AT + 2, RESTORED_AT),
        goodput(&outcome, WARM_AT + 5, END - 10),
        seconds_back(&outcome).map_or("never".to_owned(), |seconds| seconds.to_string()),
        attempts(&outcome.within(gone, |_| true)),
    )
}

/// Model requests a second that were sent between the two seconds and answered in time.
fn goodput(outcome: &Outcome, from: u64, until: u64) -> f64 {
    let span = Duration::from_secs(from)..Duration::from_secs(until);
    let served = outcome.within(span, |e| e.service == Service::Model && e.in_time);
    served.len() as f64 / (until - from) as f64
}

/// Seconds from the servers' warmth to the goodput of before they vanished.
fn seconds_back(outcome: &Outcome) -> Option<u64> {
    let before = goodput(outcome, 40, LOST_AT);
    let is_back = |second: &u64| goodput(outcome, *second, second + 3) >= BACK * before;
    let back = (WARM_AT..END - 13).find(is_back)?;
    Some(back - WARM_AT)
}

/// Whole answers in time each second while the failure domain leaves and returns, as SVG.
///
/// An empty text when the drawing fails.
pub fn plot(seed: u64) -> String {
    let mut lines = Vec::new();
    for scenario in scenarios() {
        for workload in [hangang(), kalahari()] {
            let workload = scaled(workload, scenario.load);
            let outcome = outcome(&workload, &scenario.faults, Method::Policy, seed);
            let name = format!("{}, {}", workload.name, scenario.name);
            lines.push((name, served(&outcome)));
        }
    }
    draw(&lines).unwrap_or_default()
}

/// Share in percent of each second's requests that were answered in time.
fn served(outcome: &Outcome) -> Vec<(f64, f64)> {
    let second = |second: u64| {
        let window = Duration::from_secs(second)..Duration::from_secs(second + 1);
        let all = outcome.within(window, |_| true);
        (second as f64, percent(&all, |e| e.in_time))
    };
    (40..END - 10).map(second).collect()
}

fn draw(lines: &[(String, Vec<(f64, f64)>)]) -> anyhow::Result<String> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Requests answered in time (failure domain gone from 60 s to 100 s)",
            ("sans-serif", 16).into_font(),
        )
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(40.0..(END - 10) as f64, 0.0..102.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("% in time")
        .draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    drop(chart);
    drop(area);
    Ok(svg)
}
