//! Settings from flags and environment variables; the flag wins and all errors are reported at once.

use std::{fmt::Display, str::FromStr};

/// Reads one environment variable; a closure so that tests need no process environment.
pub type EnvLookup<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Collects settings and every error found on the way.
pub struct SettingsReader<'a> {
    lookup: &'a EnvLookup<'a>,
    errors: Vec<String>,
}

impl<'a> SettingsReader<'a> {
    /// Reads environment variables through `lookup`.
    pub fn new(lookup: &'a EnvLookup<'a>) -> Self {
        Self {
            lookup,
            errors: Vec::new(),
        }
    }

    /// The flag if given, else the variable `JUJUBE_<NAME>`, else the default.
    pub fn optional<T>(&mut self, name: &str, flag: Option<String>, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.raw(name, flag) {
            Some(text) => self.parse(name, &text).unwrap_or(default),
            None => default,
        }
    }

    /// Like [`SettingsReader::optional`], but a missing value is an error.
    pub fn required<T>(&mut self, name: &str, flag: Option<String>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.raw(name, flag) else {
            let variable = variable_name(name);
            self.errors
                .push(format!("--{name} (or {variable}) is required"));
            return None;
        };
        self.parse(name, &text)
    }

    /// A comma-separated list; empty when not given.
    pub fn list<T>(&mut self, name: &str, flag: Option<String>) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.raw(name, flag).unwrap_or_default();
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let parts: Vec<String> = parts.map(str::to_owned).collect();
        parts
            .iter()
            .filter_map(|part| self.parse(name, part))
            .collect()
    }

    /// A duration such as `250ms` or `5s`.
    pub fn duration(
        &mut self,
        name: &str,
        flag: Option<String>,
        default: std::time::Duration,
    ) -> std::time::Duration {
        let Some(text) = self.raw(name, flag) else {
            return default;
        };
        match humantime::parse_duration(&text) {
            Ok(value) => value,
            Err(error) => {
                self.errors
                    .push(format!("--{name}: `{text}` is not a duration: {error}"));
                default
            }
        }
    }

    /// Adds an error when a condition between settings does not hold.
    pub fn check(&mut self, holds: bool, message: impl Into<String>) {
        if !holds {
            self.errors.push(message.into());
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    /// All errors found, one a line.
    pub fn finish(self) -> anyhow::Result<()> {
        if self.errors.is_empty() {
            return Ok(());
        }
        anyhow::bail!("invalid settings:\n  {}", self.errors.join("\n  "))
    }

    fn raw(&self, name: &str, flag: Option<String>) -> Option<String> {
        flag.or_else(|| (self.lookup)(&variable_name(name)))
    }

    fn parse<T>(&mut self, name: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.errors
                    .push(format!("--{name}: `{text}` is not valid: {error}"));
                None
            }
        }
    }
}

/// The environment variable that stands for a flag: `traffic-addr` is `JUJUBE_TRAFFIC_ADDR`.
pub fn variable_name(flag: &str) -> String {
    format!("JUJUBE_{}", flag.replace('-', "_").to_uppercase())
}

/// Reads the environment of this process.
pub fn process_env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
