//! Checks the operators' files below a directory and reports all findings at once.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use crate::{
    collect::{Collected, merge},
    files::{Declarations, FILE_NAME, FileDefaults, read_file},
    finding::Finding,
};

/// Longest operators' file, in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Largest number of operators' files in one publication.
const MAX_FILES: usize = 10_000;
/// Deepest directory level that is searched.
const MAX_DEPTH: usize = 32;

/// Reason that a directory could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A file or directory cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path that cannot be read.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// No operators' file was found.
    #[error("{0}: no `{FILE_NAME}` and no `*.{FILE_NAME}` below this directory")]
    Empty(String),
    /// Too many files or too deep a tree.
    #[error("{0}: more than {MAX_FILES} files, or deeper than {MAX_DEPTH} directories")]
    TooLarge(String),
}

/// Exit codes of the operator commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// No findings.
    Sound = 0,
    /// The files have findings.
    Findings = 1,
    /// Invalid usage, or a read or write error.
    Failed = 2,
}

/// Content of one operators' file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileText {
    /// Path relative to the checked directory, separated by `/`.
    pub name: String,
    /// File content.
    pub bytes: Vec<u8>,
}

/// Reads and merges every operators' file below `directory`.
///
/// # Errors
/// If a file or directory cannot be read. Findings are the `Err` of the inner result.
pub fn check_directory(directory: &Path) -> Result<Result<Collected, Vec<Finding>>, CheckError> {
    let files = read_directory(directory)?;
    Ok(check_files(files, &FileDefaults::default()))
}

/// Checks and merges files in memory; the result doesn't depend on their order.
///
/// # Errors
/// Every finding, sorted by file and line.
pub fn check_files(
    mut files: Vec<FileText>,
    defaults: &FileDefaults,
) -> Result<Collected, Vec<Finding>> {
    files.sort();
    let mut declarations = Declarations::default();
    let mut findings = Vec::new();
    for file in &files {
        match std::str::from_utf8(&file.bytes) {
            Ok(text) => {
                let (declared, found) = read_file(&file.name, text, defaults);
                declarations.extend(declared);
                findings.extend(found);
            }
            Err(error) => findings.push(not_utf8(file, error.valid_up_to())),
        }
    }
    // With findings, a declaration may only be missing because its file could not be read, so
    // missing declarations are not reported.
    let is_complete = findings.is_empty();
    match merge(&declarations, is_complete) {
        Ok(collected) if is_complete => return Ok(collected),
        Ok(_) => {}
        Err(found) => findings.extend(found),
    }
    findings.sort();
    findings.dedup();
    Err(findings)
}

fn not_utf8(file: &FileText, offset: usize) -> Finding {
    let before = file.bytes.iter().take(offset);
    Finding {
        file: file.name.clone(),
        line: Some(before.filter(|byte| **byte == b'\n').count() + 1),
        field: String::new(),
        reason: "not UTF-8".to_owned(),
    }
}

fn read_directory(directory: &Path) -> Result<Vec<FileText>, CheckError> {
    let mut paths = Vec::new();
    find_files(directory, 0, &mut paths)?;
    if paths.is_empty() {
        return Err(CheckError::Empty(display_path(directory)));
    }
    paths
        .iter()
        .map(|path| read_text(directory, path))
        .collect()
}

/// Finds the operators' files below a directory; symbolic links are not followed.
fn find_files(directory: &Path, depth: usize, paths: &mut Vec<PathBuf>) -> Result<(), CheckError> {
    if depth > MAX_DEPTH || paths.len() > MAX_FILES {
        return Err(CheckError::TooLarge(display_path(directory)));
    }
    let unreadable = |source| unreadable(directory, source);
    for entry in fs::read_dir(directory).map_err(unreadable)? {
        let entry = entry.map_err(unreadable)?;
        let kind = entry.file_type().map_err(unreadable)?;
        let name = entry.file_name();
        let name = name.to_string_lossy();
        if kind.is_dir() && !name.starts_with('.') {
            find_files(&entry.path(), depth + 1, paths)?;
        } else if kind.is_file() && is_operator_file(&name) {
            paths.push(entry.path());
        }
    }
    Ok(())
}

fn is_operator_file(name: &str) -> bool {
    name == FILE_NAME || name.ends_with(&format!(".{FILE_NAME}"))
}

fn read_text(directory: &Path, path: &Path) -> Result<FileText, CheckError> {
    let unreadable = |source| unreadable(path, source);
    let size = fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_FILE_BYTES {
        let reason = format!("longer than {MAX_FILE_BYTES} bytes");
        return Err(unreadable(io::Error::new(
            io::ErrorKind::FileTooLarge,
            reason,
        )));
    }
    let bytes = fs::read(path).map_err(unreadable)?;
    let below = path.strip_prefix(directory).unwrap_or(path);
    let parts: Vec<_> = below.iter().map(|part| part.to_string_lossy()).collect();
    Ok(FileText {
        name: parts.join("/"),
        bytes,
    })
}

fn unreadable(path: &Path, source: io::Error) -> CheckError {
    CheckError::Unreadable {
        path: display_path(path),
        source,
    }
}

fn display_path(path: &Path) -> String {
    path.display().to_string()
}
