//! Load generator: concurrent callers that check each response and record latencies.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

use crate::caller::{Call, Caller, Chat, Outcome, Whole};

/// Maximum latency that a histogram records, in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// Maximum number of unsuccessful outcomes kept for the report.
const MAX_FAULTS: usize = 20;

/// Kind of requests to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Streamed completions of this many tokens.
    Streams(u32),
    /// Idempotent calls to the plain service.
    Lookups,
    /// Streamed completions of this many tokens and idempotent calls in turn.
    Mixed(u32),
}

/// Settings of one load run.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// Base URLs, to which the callers are assigned in turn.
    pub bases: Vec<String>,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Time for which new requests are started.
    pub time: Duration,
    /// Kind of requests to send.
    pub work: Work,
    /// Distinguishes the markers of this run from those of other runs.
    pub seed: u64,
}

/// Counts and latencies of a run.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Time from the start to the last response.
    pub elapsed: Duration,
    /// Complete responses.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Broken connections.
    pub broken: u64,
    /// Incorrect responses.
    pub wrong: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the first token, in microseconds.
    pub first: Histogram<u64>,
    /// Time to the end of the response, in microseconds.
    pub total: Histogram<u64>,
    /// The first refusals, broken connections and incorrect responses, in debug form.
    pub faults: Vec<String>,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Errors
    /// When no histogram can be made.
    pub fn new() -> anyhow::Result<Self> {
        let histogram = Histogram::new_with_max(MAX_LATENCY_MICROS, 3)?;
        Ok(Self {
            elapsed: Duration::ZERO,
            whole: 0,
            refused: 0,
            broken: 0,
            wrong: 0,
            tokens: 0,
            first: histogram.clone(),
            total: histogram,
            faults: Vec::new(),
        })
    }

    /// Returns the complete responses per second.
    pub fn rate(&self) -> f64 {
        self.whole as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns the tokens per second.
    pub fn token_rate(&self) -> f64 {
        self.tokens as f64 / self.elapsed.as_secs_f64()
    }

    /// Formats the counts and latencies as text.
    pub fn summary(&self) -> String {
        let millis = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        let counts = format!(
            "whole {}, refused {}, broken {}, wrong {}; {:.0} requests/s, {:.0} tokens/s\n",
            self.whole,
            self.refused,
            self.broken,
            self.wrong,
            self.rate(),
            self.token_rate()
        );
        let times = format!(
            "first token p50 {:.2} ms, p99 {:.2} ms; whole answer p50 {:.2} ms, p99 {:.2} ms\n",
            millis(&self.first, 0.5),
            millis(&self.first, 0.99),
            millis(&self.total, 0.5),
            millis(&self.total, 0.99)
        );
        counts + &times + &self.faults.join("\n")
    }

    /// Adds the counts and latencies of another run.
    pub fn add(&mut self, other: &Self) {
        self.elapsed += other.elapsed;
        self.whole += other.whole;
        self.refused += other.refused;
        self.broken += other.broken;
        self.wrong += other.wrong;
        self.tokens += other.tokens;
        // Adding cannot fail: both histograms have the same bounds.
        let _ = self.first.add(&other.first);
        let _ = self.total.add(&other.total);
        self.faults.extend(other.faults.iter().cloned());
        self.faults.truncate(MAX_FAULTS);
    }

    fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Whole(whole) => return self.count_whole(&whole),
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Broken(_) => self.broken += 1,
            Outcome::Wrong(_) => self.wrong += 1,
        }
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(format!("{outcome:?}"));
        }
    }

    fn count_whole(&mut self, whole: &Whole) {
        self.whole += 1;
        self.tokens += u64::from(whole.tokens);
        self.first.saturating_record(micros(whole.first));
        self.total.saturating_record(micros(whole.total));
    }
}

/// Sends load for the configured time and waits for the last responses.
///
/// # Errors
/// When no histogram can be made.
pub async fn run(config: &LoadConfig) -> anyhow::Result<LoadReport> {
    let report = Arc::new(Mutex::new(LoadReport::new()?));
    let numbers = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let callers = (0..config.callers).map(|index| {
        let config = config.clone();
        let report = Arc::clone(&report);
        let numbers = Arc::clone(&numbers);
        tokio::spawn(async move {
            let caller = Caller::default();
            let base = &config.bases[index % config.bases.len()];
            while started.elapsed() < config.time {
                let number = numbers.fetch_add(1, Ordering::Relaxed);
                let outcome = send(&caller, base, &config, number).await;
                let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
                report.count(outcome);
            }
        })
    });
    futures_util::future::join_all(callers).await;
    let mut report = report
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    report.elapsed = started.elapsed();
    Ok(report)
}

async fn send(caller: &Caller, base: &str, config: &LoadConfig, number: u64) -> Outcome {
    let marker = format!("{}-{number}", config.seed);
    match config.work {
        Work::Streams(tokens) => caller.chat(base, &Chat::streamed(marker, tokens)).await,
        Work::Mixed(tokens) if number.is_multiple_of(2) => {
            caller.chat(base, &Chat::streamed(marker, tokens)).await
        }
        Work::Lookups | Work::Mixed(_) => caller.call(base, &Call::lookup(&marker)).await,
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_LATENCY_MICROS)
}
