//! `jujube-lab`: stand-ins, load, fault injection and experiments; never shipped.

#![warn(clippy::unwrap_used)]

mod flags;

use std::{future::Future, path::PathBuf, time::Duration};

use flags::{BenchCmd, JujubeLab, JujubeLabCmd};
use jujube_lab::{
    demo,
    experiments::{capacity, domain, once, rebalance, routing},
    load::{self, LoadConfig, Work},
    path_bench::{self, PathBenchConfig},
    publish, relay,
    standins::{
        cold_start::ColdConfig,
        engine::{self, EngineConfig},
        group::{self, GroupConfig},
        platform,
        prefix_cache::CacheConfig,
        service::{self, ServiceConfig},
    },
};
use tokio_util::sync::CancellationToken;

/// Seed of experiments without `--seed`.
const DEFAULT_SEED: u64 = 1;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let cancel = CancellationToken::new();
    match JujubeLab::from_env_or_exit().subcommand {
        JujubeLabCmd::Engine(flags) => {
            let addr = flags.addr;
            let config = engine_config(flags);
            until_ended(engine::serve(config, addr, cancel.clone()), cancel).await
        }
        JujubeLabCmd::Service(flags) => {
            let config = ServiceConfig {
                delay: Duration::from_micros(flags.delay_us.unwrap_or(0)),
                cold: cold_config(flags.cold_floor, flags.warm_after_ms),
            };
            until_ended(service::serve(config, flags.addr, cancel.clone()), cancel).await
        }
        JujubeLabCmd::Relay(flags) => {
            let served = relay::serve(flags.addr, flags.target, flags.control, cancel.clone());
            until_ended(served, cancel).await
        }
        JujubeLabCmd::Group(flags) => {
            let ranks = flags
                .addrs
                .split(',')
                .map(str::parse)
                .collect::<Result<_, _>>()?;
            let config = GroupConfig {
                ranks,
                experts: flags.experts.unwrap_or(12),
                fencing: flags.fencing.unwrap_or(true),
                step: Duration::from_micros(flags.step_us.unwrap_or(5_000)),
            };
            until_ended(group::serve(config, cancel.clone()), cancel).await
        }
        JujubeLabCmd::Platform(flags) => {
            let served = platform::serve(flags.addr, flags.view, cancel.clone());
            until_ended(served, cancel).await
        }
        JujubeLabCmd::Demo(flags) => {
            let examples = flags.examples.unwrap_or_else(|| "examples/hangang".into());
            demo::run(&examples).await
        }
        JujubeLabCmd::Load(flags) => run_load(flags).await,
        JujubeLabCmd::Bench(flags) => run_bench(flags).await,
        JujubeLabCmd::Publish(flags) => {
            let client = reqwest::Client::builder().no_proxy().build()?;
            let index = publish::publish_directory(&client, &flags.platform, &flags.dir).await?;
            println!("published at index {index}");
            Ok(())
        }
    }
}

/// Runs `work` until it ends; SIGTERM and SIGINT cancel it.
async fn until_ended(
    work: impl Future<Output = anyhow::Result<()>>,
    cancel: CancellationToken,
) -> anyhow::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let signals = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        cancel.cancel();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        result = work => result,
        () = signals => Ok(()),
    }
}

async fn run_load(flags: flags::Load) -> anyhow::Result<()> {
    let tokens = flags.tokens.unwrap_or(64);
    let work = match flags.work.as_deref() {
        None | Some("streams") => Work::Streams(tokens),
        Some("lookups") => Work::Lookups,
        Some("mixed") => Work::Mixed(tokens),
        Some(other) => anyhow::bail!("--work: `{other}` is not streams, lookups or mixed"),
    };
    anyhow::ensure!(!flags.base.is_empty(), "--base is required");
    let config = LoadConfig {
        bases: flags.base,
        callers: flags.callers.unwrap_or(16),
        time: Duration::from_secs(flags.seconds.unwrap_or(5)),
        work,
        seed: flags.seed.unwrap_or(1),
    };
    let report = load::run(&config).await?;
    print!("{}", report.summary());
    Ok(())
}

async fn run_bench(flags: flags::Bench) -> anyhow::Result<()> {
    match flags.subcommand {
        BenchCmd::Path(flags) => {
            let default = PathBenchConfig::default();
            let config = PathBenchConfig {
                rounds: flags.rounds.unwrap_or(default.rounds),
                turn: flags.turn_ms.map_or(default.turn, Duration::from_millis),
                idle: flags.idle.map_or(default.idle, Duration::from_secs),
                seed: flags.seed.unwrap_or(default.seed),
            };
            print!("{}", path_bench::run(&config).await?);
            Ok(())
        }
        BenchCmd::Rebalance(flags) => {
            experiment(flags.seed, flags.svg, rebalance::run, rebalance::plot)
        }
        BenchCmd::Routing(flags) => {
            print!("{}", routing::run(flags.seed.unwrap_or(DEFAULT_SEED)));
            Ok(())
        }
        BenchCmd::Domain(flags) => experiment(flags.seed, flags.svg, domain::run, domain::plot),
        BenchCmd::Capacity(flags) => {
            print!("{}", capacity::run(flags.seed.unwrap_or(DEFAULT_SEED)));
            Ok(())
        }
        BenchCmd::Once(flags) => {
            print!("{}", once::run(flags.seed.unwrap_or(DEFAULT_SEED)));
            Ok(())
        }
    }
}

/// Prints an experiment's tables, and writes its plot if a file is given.
fn experiment(
    seed: Option<u64>,
    svg: Option<PathBuf>,
    run: fn(u64) -> String,
    plot: fn(u64) -> String,
) -> anyhow::Result<()> {
    let seed = seed.unwrap_or(DEFAULT_SEED);
    print!("{}", run(seed));
    if let Some(file) = svg {
        std::fs::write(file, plot(seed))?;
    }
    Ok(())
}

fn engine_config(flags: flags::Engine) -> EngineConfig {
    let default = EngineConfig::default();
    let models = if flags.model.is_empty() {
        default.models
    } else {
        flags.model
    };
    EngineConfig {
        models,
        capacity: flags.capacity.unwrap_or(default.capacity),
        token_delay: Duration::from_micros(flags.token_delay_us.unwrap_or(0)),
        prefill_delay: Duration::from_micros(flags.prefill_delay_us.unwrap_or(0)),
        fencing: flags.fencing.unwrap_or(default.fencing),
        cold: cold_config(flags.cold_floor, flags.warm_after_ms),
        memory: flags.token_capacity,
        cache: CacheConfig {
            event_lag: Duration::from_millis(flags.event_lag_ms.unwrap_or(0)),
            lose_each: flags.event_loss.unwrap_or(0),
            ..default.cache
        },
        ..default
    }
}

fn cold_config(floor: Option<u32>, warm_after_ms: Option<u64>) -> ColdConfig {
    let default = ColdConfig::default();
    ColdConfig {
        floor: floor.unwrap_or(default.floor),
        warm_after: Duration::from_millis(warm_after_ms.unwrap_or(0)),
        ..default
    }
}
