//! Findings: faults in operators' files and published documents.

use std::fmt;

use jj_utils::common_derives;

common_derives! {wire:
    /// A fault in a file or document: its location, what is wrong and what is allowed.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Finding {
        /// File, relative to the checked directory, or name of the published document.
        pub file: String,
        /// Line in that file, from 1, if known.
        pub line: Option<usize>,
        /// Path of the field, such as `routes[2].timeout`; empty for the whole file.
        pub field: String,
        /// What is wrong, and what is allowed.
        pub reason: String,
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(out, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(out, ": {}", self.field)?;
        }
        write!(out, ": {}", self.reason)
    }
}

common_derives! {value:
    /// A violated rule, not yet attributed to a file.
    #[derive(Eq)]
    pub struct Problem {
        /// Path of the field inside the document.
        pub field: String,
        /// What is wrong, and what is allowed.
        pub reason: String,
    }
}

impl Problem {
    /// Creates a problem of a field.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}
