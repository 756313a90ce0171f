//! Logger set-up: text or JSON lines on standard output, through `fern`.

use std::{fmt, io::Write, panic::PanicHookInfo, str::FromStr};

use anyhow::Context;
use log::{
    LevelFilter, Metadata, Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::Map;

use crate::{clock::unix_millis, events, log_event, log_output::LogOutput};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Readable text.
    #[default]
    Text,
    /// One JSON object per line.
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

/// Installs the process's logger and a panic hook that logs panics.
///
/// # Errors
/// When a logger is already installed.
pub fn install(format: LogFormat, level: LevelFilter) -> anyhow::Result<()> {
    let output = || Box::new(LogOutput::default()) as Box<dyn Write + Send>;
    let requests = fern::Dispatch::new().filter(is_frequent).chain(output());
    let others = fern::Dispatch::new()
        .filter(|it| !is_frequent(it))
        .chain(output());
    fern::Dispatch::new()
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{}", text_line(message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        })
        .level(LevelFilter::Warn)
        .level_for("jujube", level)
        .chain(requests)
        .chain(others)
        .apply()
        .context("install the logger")?;
    std::panic::set_hook(Box::new(log_panic));
    Ok(())
}

/// Logs the place and the message of a panic.
fn log_panic(panic: &PanicHookInfo<'_>) {
    let location = panic.location().map(ToString::to_string);
    let payload = panic.payload();
    let message = payload.downcast_ref::<&str>().copied();
    let message = message.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let reason = message.unwrap_or("the panic has no message");
    log_event!(
        events::TASK_FAILED,
        place = location.unwrap_or_default(); "panicked: {reason}"
    );
}

/// Returns whether a line belongs to an event of each request or pass. These have a rate limit of
/// their own, so that a flood of them does not displace lines about changes of the process's state.
fn is_frequent(metadata: &Metadata<'_>) -> bool {
    metadata.target() == events::FREQUENT_TARGET
}

fn text_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let level = record.level();
    let fields: String = fields(record)
        .iter()
        .map(|(name, value)| format!(" {name}={value}"))
        .collect();
    match event_code(record) {
        Some(code) => format!("{} {level:5} JJ-{code} {message}{fields}", unix_millis()),
        None => format!(
            "{} {level:5} {} {message}{fields}",
            unix_millis(),
            record.target()
        ),
    }
}

fn json_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = serde_json::json!({
        "time_ms": unix_millis(),
        "level": record.level().as_str(),
        "event": event_code(record).map(|code| format!("JJ-{code}")),
        "target": record.target(),
        "message": message.to_string(),
    });
    if let Some(line) = line.as_object_mut() {
        line.extend(fields(record));
    }
    line.to_string()
}

/// Field that holds the event's code.
const EVENT_FIELD: &str = "event";

fn event_code(record: &Record<'_>) -> Option<u64> {
    record
        .key_values()
        .get(Key::from(EVENT_FIELD))
        .and_then(|value| value.to_u64())
}

/// Returns the fields of a record, except the event's code.
fn fields(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut fields = Fields(Map::new());
    // `Fields::visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if key.as_str() != EVENT_FIELD {
            self.0.insert(key.to_string(), json_value(&value));
        }
        Ok(())
    }
}

fn json_value(value: &Value<'_>) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_f64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    value.to_string().into()
}
