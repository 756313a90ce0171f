//! Log set-up: text or JSON lines on standard error, through `fern`.

use std::{fmt, str::FromStr};

use anyhow::Context;
use log::{LevelFilter, Record, kv::Key};

use crate::clock::unix_millis;

/// Form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// One readable line an event.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is neither `text` nor `json`")),
        }
    }
}

/// Installs the process's logger.
///
/// # Errors
/// When a logger is installed already.
pub fn install(format: LogFormat, level: LevelFilter) -> anyhow::Result<()> {
    fern::Dispatch::new()
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{}", text_line(message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        })
        .level(LevelFilter::Warn)
        .level_for("jujube", level)
        .chain(std::io::stderr())
        .apply()
        .context("install the logger")
}

fn text_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let level = record.level();
    match event_code(record) {
        Some(code) => format!("{} {level:5} JJ-{code} {message}", unix_millis()),
        None => format!("{} {level:5} {} {message}", unix_millis(), record.target()),
    }
}

fn json_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    serde_json::json!({
        "time_ms": unix_millis(),
        "level": record.level().as_str(),
        "event": event_code(record).map(|code| format!("JJ-{code}")),
        "target": record.target(),
        "message": message.to_string(),
    })
    .to_string()
}

fn event_code(record: &Record<'_>) -> Option<u64> {
    record
        .key_values()
        .get(Key::from("event"))
        .and_then(|value| value.to_u64())
}
