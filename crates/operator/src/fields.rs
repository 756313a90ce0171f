//! Reads a parsed TOML table field by field and collects findings with their lines.

use std::{fmt::Display, ops::Range, time::Duration};

use toml::de::{DeTable, DeValue};

use crate::finding::Finding;

/// A TOML value with its span in the text.
pub type Value<'i> = toml::Spanned<DeValue<'i>>;

/// The text of one file, with its findings.
pub struct Source<'t> {
    name: &'t str,
    /// Offset of each line's end, in order.
    line_ends: Vec<usize>,
    /// Findings so far.
    pub findings: Vec<Finding>,
}

impl<'t> Source<'t> {
    /// Creates the source of one file, without findings.
    pub fn new(name: &'t str, text: &'t str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self {
            name,
            line_ends: ends.map(|(offset, _)| offset).collect(),
            findings: Vec::new(),
        }
    }

    /// Returns the file name.
    pub fn name(&self) -> &'t str {
        self.name
    }

    /// Adds a finding at a span of the text.
    pub fn report(&mut self, span: Range<usize>, field: impl Display, reason: impl Display) {
        self.findings.push(Finding {
            file: self.name.to_owned(),
            line: Some(self.line(span.start)),
            field: field.to_string(),
            reason: reason.to_string(),
        });
    }

    /// Returns the line of a byte offset, from 1.
    pub fn line(&self, offset: usize) -> usize {
        self.line_ends.partition_point(|end| *end < offset) + 1
    }
}

/// A table with its path in the file.
pub struct Fields<'a, 'i> {
    table: &'a DeTable<'i>,
    span: Range<usize>,
    path: String,
}

impl<'a, 'i> Fields<'a, 'i> {
    /// Creates a reader of `table` at `span`; an empty `path` means the whole file.
    pub fn new(table: &'a DeTable<'i>, span: Range<usize>, path: impl Into<String>) -> Self {
        Self {
            table,
            span,
            path: path.into(),
        }
    }

    /// Returns the path of a field of this table.
    pub fn path(&self, key: &str) -> String {
        match self.path.is_empty() {
            true => key.to_owned(),
            false => format!("{}.{key}", self.path),
        }
    }

    /// Returns the span of this table.
    pub fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Reports every key not in `allowed`.
    pub fn only(&self, source: &mut Source<'_>, allowed: &[&str]) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if !allowed.contains(&name) {
                let reason = format!("unknown field; allowed: {}", allowed.join(", "));
                source.report(key.span(), self.path(name), reason);
            }
        }
    }

    /// Returns the value of a key, if present.
    pub fn get(&self, key: &str) -> Option<&'a Value<'i>> {
        self.table.get(key)
    }

    /// Returns all keys with their values.
    pub fn entries(&self) -> impl Iterator<Item = (&'a str, &'a Value<'i>)> {
        let entries = self.table.iter();
        entries.map(|(key, value)| (key.get_ref().as_ref(), value))
    }

    /// Reads a string; reports it if absent or of another type.
    pub fn string(&self, source: &mut Source<'_>, key: &str) -> Option<String> {
        let value = self.required(source, key, "a string")?;
        self.string_of(source, key, value)
    }

    /// Reads an optional string.
    pub fn optional_string(&self, source: &mut Source<'_>, key: &str) -> Option<String> {
        let value = self.get(key)?;
        self.string_of(source, key, value)
    }

    /// Reads a boolean; reports it if absent or of another type.
    pub fn boolean(&self, source: &mut Source<'_>, key: &str) -> Option<bool> {
        let value = self.required(source, key, "true or false")?;
        let found = value.get_ref().as_bool();
        self.typed(source, key, value, found, "true or false")
    }

    /// Reads a whole number; `default` if absent.
    pub fn number(&self, source: &mut Source<'_>, key: &str, default: Option<u32>) -> Option<u32> {
        let Some(value) = self.get(key) else {
            return default.or_else(|| {
                self.required(source, key, "a whole number");
                None
            });
        };
        let found = value.get_ref().as_integer().and_then(|number| {
            let digits = number.as_str();
            u32::from_str_radix(digits, number.radix()).ok()
        });
        self.typed(
            source,
            key,
            value,
            found,
            "a whole number from 0 to 4294967295",
        )
    }

    /// Reads a duration such as `"1.4s"`, `"250ms"`, `"2m"` or `"1h"`; `default` if absent.
    pub fn duration(
        &self,
        source: &mut Source<'_>,
        key: &str,
        default: Duration,
    ) -> Option<Duration> {
        let Some(value) = self.get(key) else {
            return Some(default);
        };
        let found = value.get_ref().as_str().and_then(parse_duration);
        let allowed = "a duration in quotes such as \"250ms\", \"1.4s\", \"2m\" or \"1h\"";
        self.typed(source, key, value, found, allowed)
    }

    /// Reads a list of strings; empty if absent.
    pub fn strings(&self, source: &mut Source<'_>, key: &str) -> Option<Vec<String>> {
        let Some(value) = self.get(key) else {
            return Some(Vec::new());
        };
        let found = value.get_ref().as_array().and_then(|array| {
            let texts = array
                .iter()
                .map(|item| item.get_ref().as_str().map(str::to_owned));
            texts.collect::<Option<Vec<String>>>()
        });
        self.typed(source, key, value, found, "a list of strings")
    }

    /// Reads a table; `None` if absent, reported if of another type.
    pub fn table(&self, source: &mut Source<'_>, key: &str) -> Option<Fields<'a, 'i>> {
        let value = self.get(key)?;
        let found = value.get_ref().as_table();
        let table = self.typed(source, key, value, found, "a table")?;
        Some(Fields::new(table, value.span(), self.path(key)))
    }

    /// Reads a list of tables; empty if absent.
    pub fn tables(&self, source: &mut Source<'_>, key: &str) -> Vec<Fields<'a, 'i>> {
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let found = value.get_ref().as_array();
        let Some(array) = self.typed(source, key, value, found, "a list of tables") else {
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (position, item) in array.iter().enumerate() {
            let path = format!("{}[{position}]", self.path(key));
            match item.get_ref().as_table() {
                Some(table) => tables.push(Fields::new(table, item.span(), path)),
                None => source.report(item.span(), path, "not a table"),
            }
        }
        tables
    }

    fn string_of(&self, source: &mut Source<'_>, key: &str, value: &Value<'_>) -> Option<String> {
        let found = value.get_ref().as_str().map(str::to_owned);
        self.typed(source, key, value, found, "a string")
    }

    fn required(&self, source: &mut Source<'_>, key: &str, allowed: &str) -> Option<&'a Value<'i>> {
        let value = self.get(key);
        if value.is_none() {
            let reason = format!("missing; allowed: {allowed}");
            source.report(self.span(), self.path(key), reason);
        }
        value
    }

    fn typed<T>(
        &self,
        source: &mut Source<'_>,
        key: &str,
        value: &Value<'_>,
        found: Option<T>,
        allowed: &str,
    ) -> Option<T> {
        if found.is_none() {
            let reason = format!(
                "not valid ({}); allowed: {allowed}",
                value.get_ref().type_str()
            );
            source.report(value.span(), self.path(key), reason);
        }
        found
    }
}

/// Parses `1.4s`, `250ms`, `2m` or `1h`, to whole milliseconds.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let split = text.find(|letter: char| letter.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(split);
    let plain = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if number.is_empty() || !number.bytes().all(plain) {
        return None;
    }
    let millis_per_unit = match unit {
        "ms" => 1.0,
        "s" => 1_000.0,
        "m" => 60_000.0,
        "h" => 3_600_000.0,
        _ => return None,
    };
    let millis = (number.parse::<f64>().ok()? * millis_per_unit).round();
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}
