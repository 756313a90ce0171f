//! What each attempt that an agent keeps costs it, on real processes.

use std::{fmt::Write, thread, time::Instant};

use anyhow::Context;
use futures_util::StreamExt;

use crate::{
    caller::{Call, Caller, Outcome},
    fleet::{Fleet, FleetConfig},
};

/// Calls made at once through one agent: each leaves one attempt.
const ATTEMPTS: [usize; 4] = [1_000, 4_000, 16_000, 48_000];

/// Callers at once.
const CALLERS: usize = 64;

/// Appends a Markdown table.
///
/// # Errors
/// When the processes don't start or a call fails.
pub fn table(text: &mut String) -> anyhow::Result<()> {
    let measuring = thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?;
        runtime.block_on(rows())
    });
    let rows = measuring.join().ok().context("measuring ends")??;
    let _ = writeln!(
        text,
        "| attempts | calls/s | resident before, MB | grown, KB | bytes an attempt | processor, µs \
         an attempt |\n|---|---|---|---|---|---|"
    );
    text.push_str(&rows);
    text.push('\n');
    Ok(())
}

async fn rows() -> anyhow::Result<String> {
    let mut rows = String::new();
    for attempts in ATTEMPTS {
        rows.push_str(&row(attempts).await?);
    }
    Ok(rows)
}

/// A new agent, so that no memory of an earlier row is used again.
async fn row(attempts: usize) -> anyhow::Result<String> {
    let fleet = Fleet::start(FleetConfig {
        entries: 1,
        engines: 0,
        services: 1,
        cold_floor: 128,
        concurrency: 128,
        relays: false,
        ..FleetConfig::default()
    })
    .await?;
    let caller = Caller::default();
    let base = fleet.entry_url(0);
    // The first calls grow buffers and connections, not attempts.
    call(&caller, &base, CALLERS * 4).await;
    let agent = &fleet.services[0].agent.process;
    let (before, begun) = (agent.usage()?, Instant::now());
    let whole = call(&caller, &base, attempts).await.max(1);
    let (after, took) = (agent.usage()?, begun.elapsed());
    let grown = after.resident.saturating_sub(before.resident);
    let spent = after.cpu.saturating_sub(before.cpu);
    Ok(format!(
        "| {whole} | {:.0} | {:.1} | {} | {:.0} | {:.0} |\n",
        whole as f64 / took.as_secs_f64(),
        before.resident as f64 / 1e6,
        grown / 1000,
        grown as f64 / whole as f64,
        spent.as_secs_f64() * 1e6 / whole as f64
    ))
}

/// Makes so many calls and returns how many got a whole answer.
async fn call(caller: &Caller, base: &str, count: usize) -> usize {
    let calls = (0..count).map(|number| async move {
        let call = Call::lookup(&format!("call-{number}"));
        matches!(caller.call(base, &call).await, Outcome::Whole(_))
    });
    let calls = futures_util::stream::iter(calls).buffer_unordered(CALLERS);
    calls
        .filter(|whole| std::future::ready(*whole))
        .count()
        .await
}
