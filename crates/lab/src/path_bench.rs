//! Benchmark of the path through entry and agent, compared with direct calls to the stand-ins in
//! the same run.

use std::{fmt::Write, time::Duration};

use jj_operator::documents::Limits;

use crate::{
    fleet::{Fleet, FleetConfig, Server, args},
    load::{self, LoadConfig, LoadReport, Work},
    process::{Process, Usage},
    publication::Publication,
    standins::faults::ControlRequest,
};

/// Numbers of concurrent callers, one per row of the latency table.
const CALLER_COUNTS: [usize; 3] = [1, 16, 64];

/// Tokens of each response in the latency table.
const SHORT_RESPONSE_TOKENS: u32 = 16;

/// Tokens of each response in the throughput table; the memory table uses a quarter of it.
const LONG_RESPONSE_TOKENS: u32 = 512;

/// Concurrent streams while memory is measured.
const OPEN_STREAMS: usize = 256;

/// Duration of each token while memory is measured, in microseconds.
const SLOW_TOKEN_US: u64 = 20_000;

/// Interval between two samples of resident memory.
const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Durations and seed of the benchmark.
#[derive(Debug, Clone)]
pub struct PathBenchConfig {
    /// Number of rounds, each with one turn of direct calls and one along the path.
    pub rounds: u32,
    /// Duration of each turn.
    pub turn: Duration,
    /// Duration of the idle measurement.
    pub idle: Duration,
    /// Distinguishes the requests of this run from those of other runs.
    pub seed: u64,
}

impl Default for PathBenchConfig {
    fn default() -> Self {
        Self {
            rounds: 3,
            turn: Duration::from_secs(1),
            idle: Duration::from_secs(10),
            seed: 1,
        }
    }
}

/// Processor time and memory of the three processes on the path.
#[derive(Debug, Clone, Copy)]
struct PathUsage {
    entry: Usage,
    agent: Usage,
    backend: Usage,
}

/// Results of direct calls and of calls along the path, with the processor time of the latter.
struct Comparison {
    direct: LoadReport,
    path: LoadReport,
    entry_cpu: Duration,
    agent_cpu: Duration,
    backend_cpu: Duration,
}

/// Runs the benchmark and returns its tables in Markdown.
///
/// # Errors
/// When a process fails, or a response is not complete.
pub async fn run(config: &PathBenchConfig) -> anyhow::Result<String> {
    let fleet = Fleet::start(fleet_config()).await?;
    let mut out = String::new();
    writeln!(
        out,
        "seed {}, {} turns of {:?} each\n",
        config.seed, config.rounds, config.turn
    )?;
    latency_table(&mut out, &fleet, config).await?;
    throughput_table(&mut out, &fleet, config).await?;
    memory_table(&mut out, &fleet, config).await?;
    idle_table(&mut out, &fleet, config).await?;
    Ok(out)
}

/// Returns a fleet whose limits admit all of the load even while servers are cold, so that the
/// benchmark measures the cost of the path and not the delay by admission control.
fn fleet_config() -> FleetConfig {
    let mut publication = Publication::default();
    for service in &mut publication.services {
        service.limits = Limits {
            cold_floor: 512,
            concurrency: 1024,
            queue: 1024,
            tokens: None,
        };
    }
    FleetConfig {
        entries: 1,
        engines: 1,
        services: 1,
        cold_floor: 512,
        concurrency: 1024,
        relays: false,
        publication,
        engine_flags: args(["--capacity", "1024"]),
        ..FleetConfig::default()
    }
}

async fn latency_table(
    out: &mut String,
    fleet: &Fleet,
    config: &PathBenchConfig,
) -> anyhow::Result<()> {
    writeln!(
        out,
        "| work | callers | p50 direct | p50 path | added | p99 direct | p99 path | added | \
         requests/s direct | path | CPU entry | agent | stand-in |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")?;
    for (name, work) in [
        ("desk call", Work::Lookups),
        ("chat of 16 tokens", Work::Streams(SHORT_RESPONSE_TOKENS)),
    ] {
        for callers in CALLER_COUNTS {
            let row = compare(fleet, config, work, callers).await?;
            write_latency(out, name, callers, &row)?;
        }
    }
    writeln!(
        out,
        "\nTimes in ms to the whole answer; CPU in µs for each request along the path.\n"
    )?;
    Ok(())
}

fn write_latency(
    out: &mut String,
    name: &str,
    callers: usize,
    row: &Comparison,
) -> anyhow::Result<()> {
    let at = |report: &LoadReport, quantile| report.total.value_at_quantile(quantile) as f64 / 1e3;
    let (direct50, path50) = (at(&row.direct, 0.5), at(&row.path, 0.5));
    let (direct99, path99) = (at(&row.direct, 0.99), at(&row.path, 0.99));
    let each = |cpu: Duration| cpu.as_secs_f64() * 1e6 / row.path.whole.max(1) as f64;
    writeln!(
        out,
        "| {name} | {callers} | {direct50:.2} | {path50:.2} | {:.2} | {direct99:.2} | \
         {path99:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |",
        path50 - direct50,
        path99 - direct99,
        row.direct.rate(),
        row.path.rate(),
        each(row.entry_cpu),
        each(row.agent_cpu),
        each(row.backend_cpu),
    )?;
    Ok(())
}

async fn throughput_table(
    out: &mut String,
    fleet: &Fleet,
    config: &PathBenchConfig,
) -> anyhow::Result<()> {
    let row = compare(fleet, config, Work::Streams(LONG_RESPONSE_TOKENS), 64).await?;
    let cores = |cpu: Duration| cpu.as_secs_f64() / row.path.elapsed.as_secs_f64();
    writeln!(
        out,
        "| 64 callers, answers of {LONG_RESPONSE_TOKENS} tokens | direct | path |"
    )?;
    writeln!(out, "|---|---|---|")?;
    writeln!(
        out,
        "| tokens/s | {:.0} | {:.0} |",
        row.direct.token_rate(),
        row.path.token_rate()
    )?;
    writeln!(
        out,
        "\nCores in use along the path: entry {:.2}, agent {:.2}, stand-in {:.2}.\n",
        cores(row.entry_cpu),
        cores(row.agent_cpu),
        cores(row.backend_cpu)
    )?;
    Ok(())
}

async fn memory_table(
    out: &mut String,
    fleet: &Fleet,
    config: &PathBenchConfig,
) -> anyhow::Result<()> {
    let engine = &fleet.engines[0];
    set_delay(fleet, engine, SLOW_TOKEN_US).await?;
    let load = LoadConfig {
        callers: OPEN_STREAMS,
        ..load_config(
            fleet.entry_url(0),
            config,
            Work::Streams(LONG_RESPONSE_TOKENS / 4),
            OPEN_STREAMS,
        )
    };
    let running = load::run(&load);
    tokio::pin!(running);
    let (mut entry, mut agent) = (0, 0);
    let report = loop {
        tokio::select! {
            report = &mut running => break report?,
            () = tokio::time::sleep(MEMORY_SAMPLE_INTERVAL) => {
                let usage = path_usage(fleet, engine)?;
                entry = entry.max(usage.entry.resident);
                agent = agent.max(usage.agent.resident);
            }
        }
    };
    set_delay(fleet, engine, 0).await?;
    ensure_all_complete(&report)?;
    writeln!(out, "| {OPEN_STREAMS} open streams | entry | agent |")?;
    writeln!(out, "|---|---|---|")?;
    writeln!(
        out,
        "| highest resident memory, MB | {:.1} | {:.1} |\n",
        to_megabytes(entry),
        to_megabytes(agent)
    )?;
    Ok(())
}

async fn idle_table(
    out: &mut String,
    fleet: &Fleet,
    config: &PathBenchConfig,
) -> anyhow::Result<()> {
    let engine = &fleet.engines[0];
    let before = path_usage(fleet, engine)?;
    tokio::time::sleep(config.idle).await;
    let after = path_usage(fleet, engine)?;
    let share = |before: Usage, after: Usage| {
        (after.cpu - before.cpu).as_secs_f64() / config.idle.as_secs_f64() * 100.0
    };
    writeln!(out, "| idle for {:?} | entry | agent |", config.idle)?;
    writeln!(out, "|---|---|---|")?;
    writeln!(
        out,
        "| share of a core, % | {:.2} | {:.2} |",
        share(before.entry, after.entry),
        share(before.agent, after.agent)
    )?;
    writeln!(
        out,
        "| resident memory, MB | {:.1} | {:.1} |",
        to_megabytes(after.entry.resident),
        to_megabytes(after.agent.resident)
    )?;
    Ok(())
}

async fn compare(
    fleet: &Fleet,
    config: &PathBenchConfig,
    work: Work,
    callers: usize,
) -> anyhow::Result<Comparison> {
    let server = match work {
        Work::Lookups => &fleet.services[0],
        Work::Streams(_) | Work::Mixed(_) => &fleet.engines[0],
    };
    let mut row = Comparison {
        direct: LoadReport::new()?,
        path: LoadReport::new()?,
        entry_cpu: Duration::ZERO,
        agent_cpu: Duration::ZERO,
        backend_cpu: Duration::ZERO,
    };
    for _ in 0..config.rounds {
        let direct = load_config(server.url.clone(), config, work, callers);
        row.direct.add(&load::run(&direct).await?);
        let path = load_config(fleet.entry_url(0), config, work, callers);
        let before = path_usage(fleet, server)?;
        row.path.add(&load::run(&path).await?);
        let after = path_usage(fleet, server)?;
        row.entry_cpu += after.entry.cpu - before.entry.cpu;
        row.agent_cpu += after.agent.cpu - before.agent.cpu;
        row.backend_cpu += after.backend.cpu - before.backend.cpu;
    }
    ensure_all_complete(&row.direct)?;
    ensure_all_complete(&row.path)?;
    Ok(row)
}

fn load_config(base: String, config: &PathBenchConfig, work: Work, callers: usize) -> LoadConfig {
    LoadConfig {
        bases: vec![base],
        callers,
        time: config.turn,
        work,
        seed: config.seed,
    }
}

fn path_usage(fleet: &Fleet, server: &Server) -> anyhow::Result<PathUsage> {
    let usage = |process: &Process| process.usage();
    Ok(PathUsage {
        entry: usage(&fleet.entries[0].process)?,
        agent: usage(&server.agent.process)?,
        backend: usage(&server.backend)?,
    })
}

async fn set_delay(fleet: &Fleet, server: &Server, micros: u64) -> anyhow::Result<()> {
    let request = ControlRequest {
        delay_us: Some(micros),
        ..ControlRequest::default()
    };
    fleet.control(server, &request).await
}

fn ensure_all_complete(report: &LoadReport) -> anyhow::Result<()> {
    let failed = report.refused + report.broken + report.wrong;
    anyhow::ensure!(
        failed == 0,
        "{failed} answers are not whole: {:#?}",
        report.faults
    );
    Ok(())
}

fn to_megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}
