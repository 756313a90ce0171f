//! Settings from flags and environment variables. A flag overrides its variable, and all errors are
//! reported together.

use std::{fmt::Display, str::FromStr};

/// Function that reads an environment variable; a parameter so that tests need no process
/// environment.
pub type EnvLookup<'a> = dyn Fn(&str) -> Option<String> + 'a;

/// Reader that parses settings and collects all errors.
pub struct SettingsReader<'a> {
    lookup: &'a EnvLookup<'a>,
    errors: Vec<String>,
}

impl<'a> SettingsReader<'a> {
    /// Returns a reader that gets environment variables through `lookup`.
    pub fn new(lookup: &'a EnvLookup<'a>) -> Self {
        Self {
            lookup,
            errors: Vec::new(),
        }
    }

    /// Returns the flag's value if given, else that of the variable `JUJUBE_<NAME>`, else the
    /// default.
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

    /// Returns the value as [`SettingsReader::optional`] does, but records an error if it is
    /// missing.
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

    /// Returns the values of a comma-separated list; empty if not given.
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

    /// Returns a duration, written like `250ms` or `5s`.
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

    /// Records an error if a condition on the settings does not hold.
    pub fn check(&mut self, holds: bool, message: impl Into<String>) {
        if !holds {
            self.errors.push(message.into());
        }
    }

    /// Finishes reading and reports the collected errors.
    ///
    /// # Errors
    /// When there are errors; the message lists all of them, one per line.
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

/// Returns the environment variable for a flag; for `traffic-addr` it is `JUJUBE_TRAFFIC_ADDR`.
pub fn variable_name(flag: &str) -> String {
    format!("JUJUBE_{}", flag.replace('-', "_").to_uppercase())
}

/// Reads a variable from the environment of this process.
pub fn process_env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
