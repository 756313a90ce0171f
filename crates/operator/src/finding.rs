//! One fault in an operators' file or a published document.

use std::fmt;

use jj_utils::common_derives;

common_derives! {wire:
    /// Where a fault is, what is wrong and what is allowed.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct Finding {
        /// File, relative to the checked directory, or name of the published document.
        pub file: String,
        /// Line in that file, from 1, when it is known.
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
    /// A broken rule, before it is known in which file it stands.
    #[derive(Eq)]
    pub struct Problem {
        /// Path of the field inside the document.
        pub field: String,
        /// What is wrong, and what is allowed.
        pub reason: String,
    }
}

impl Problem {
    /// Makes one from anything that reads as text.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
        }
    }
}
