//! Seeded traces of expert popularity.

use jj_policy::{
    expert_map::GroupShape, popularity::ExpertCounts, rebalance_replay::PopularityTrace,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;

/// Length of one period, in seconds.
const PERIOD: u64 = 5;

/// Tokens routed in one period.
const TOKENS: f64 = 2_000_000.0;

/// How popularity moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Drift {
    /// Every expert wanders slowly.
    Slow,
    /// An eighth of the experts surges towards a deadline, then falls back.
    Surge,
    /// A set of hot experts moves through all experts.
    HotSet,
    /// Slow drift; reports lag by one to four periods, a third is missing, and so is a tenth of
    /// the counts in the others.
    Gaps,
}

impl Drift {
    /// Every kind of drift.
    pub const ALL: [Self; 4] = [Self::Slow, Self::Surge, Self::HotSet, Self::Gaps];

    /// Name of the trace.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow drift",
            Self::Surge => "surge before a deadline",
            Self::HotSet => "moving hot set",
            Self::Gaps => "lagging and missing counts",
        }
    }
}

/// Makes one trace.
pub fn generate(drift: Drift, shape: GroupShape, periods: u32, seed: u64) -> PopularityTrace {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut weights: Vec<f64> = (0..shape.experts).map(|_| 0.6 * normal(&mut rng)).collect();
    let centre = weights.clone();
    let mut truth = Vec::new();
    for period in 0..periods {
        for (weight, centre) in weights.iter_mut().zip(&centre) {
            *weight += 0.002 * (centre - *weight) + 0.012 * normal(&mut rng);
        }
        let progress = f64::from(period) / f64::from(periods);
        let popularity = |expert: usize| {
            let position = expert as f64 / f64::from(shape.experts);
            (weights[expert] + boost(drift, position, progress)).exp()
        };
        let popularity: Vec<f64> = (0..weights.len()).map(popularity).collect();
        truth.push(counts(&popularity, &mut rng));
    }
    let reports = (0..truth.len()).map(|period| report(drift, &truth, period, &mut rng));
    let reports = reports.collect();
    PopularityTrace {
        name: drift.name().to_owned(),
        seed,
        shape,
        period: PERIOD,
        truth,
        reports,
    }
}

/// The part of a trace from one period on, with its clock starting at zero there.
pub fn window(trace: &PopularityTrace, from: usize, periods: usize) -> PopularityTrace {
    let start = Duration::from_secs(trace.period) * from as u32;
    let shifted = |report: &Option<ExpertCounts>| {
        let report = report.as_ref().filter(|report| report.until > start)?;
        Some(ExpertCounts {
            until: report.until - start,
            counts: report.counts.clone(),
        })
    };
    let reports = trace.reports[from..][..periods].iter().map(shifted);
    PopularityTrace {
        truth: trace.truth[from..][..periods].to_vec(),
        reports: reports.collect(),
        ..trace.clone()
    }
}

/// What is added to the logarithm of an expert's popularity.
fn boost(drift: Drift, position: f64, progress: f64) -> f64 {
    match drift {
        Drift::Slow | Drift::Gaps => 0.0,
        Drift::Surge if position >= 0.125 => 0.0,
        Drift::Surge => {
            let rise = ((progress - 0.2) / 0.5).clamp(0.0, 1.0);
            let fall = ((progress - 0.72) / 0.08).clamp(0.0, 1.0);
            1.4 * (rise - fall)
        }
        Drift::HotSet => {
            let distance = (position - progress).rem_euclid(1.0);
            let distance = distance.min(1.0 - distance);
            1.0 * (1.0 - distance / 0.15).max(0.0)
        }
    }
}

fn counts(popularity: &[f64], rng: &mut Pcg64) -> Vec<u32> {
    let total: f64 = popularity.iter().sum();
    let count = |weight: &f64| {
        let mean = weight / total * TOKENS;
        (mean + mean.sqrt() * normal(rng)).max(0.0) as u32
    };
    popularity.iter().map(count).collect()
}

fn report(
    drift: Drift,
    truth: &[Vec<u32>],
    period: usize,
    rng: &mut Pcg64,
) -> Option<ExpertCounts> {
    let (lag, missing, gap) = match drift {
        Drift::Gaps => (rng.random_range(1..=4), 0.33, 0.1),
        _ => (1, 0.0, 0.0),
    };
    let about = period.checked_sub(lag)?;
    if rng.random::<f64>() < missing {
        return None;
    }
    let counts = truth[about].iter();
    let counts = counts.map(|count| (rng.random::<f64>() >= gap).then_some(*count));
    Some(ExpertCounts {
        until: Duration::from_secs(PERIOD * (about as u64 + 1)),
        counts: counts.collect(),
    })
}

/// Close to a standard normal number: the sum of twelve uniform ones.
fn normal(rng: &mut Pcg64) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}
