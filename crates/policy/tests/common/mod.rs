//! Recorded traces: small files made by seeded generators.

use std::path::PathBuf;

/// Reads the trace `name`; with `JUJUBE_RECORD` set, records what the generator makes first.
///
/// # Panics
/// When the recorded trace is not the generator's.
pub fn recorded(name: &str, generated: String) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let path = folder.join(format!("{name}.txt"));
    if std::env::var_os("JUJUBE_RECORD").is_some() {
        std::fs::write(&path, &generated).expect("the trace can be written");
    }
    let text = std::fs::read_to_string(&path).expect("the trace is recorded");
    assert_eq!(text, generated, "{name} is not what its generator makes");
    text
}
