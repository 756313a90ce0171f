//! Formats a status document as indented text.

use serde_json::Value;

/// Deepest nesting that is indented; deeper values are written as JSON.
const MAX_DEPTH: usize = 16;

/// Formats a status document with one field per line and nested values indented.
pub fn status_text(value: &Value) -> String {
    let mut text = String::new();
    write_fields(&mut text, value, 0);
    text
}

fn write_fields(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                write_entry(text, name, field, depth);
            }
        }
        Value::Array(items) => {
            for (position, item) in items.iter().enumerate() {
                write_entry(text, &format!("- {position}"), item, depth);
            }
        }
        plain => write_line(text, &plain_text(plain), depth),
    }
}

fn write_entry(text: &mut String, name: &str, value: &Value, depth: usize) {
    let nested = matches!(value, Value::Object(_) | Value::Array(_));
    if !nested || depth >= MAX_DEPTH {
        write_line(text, &format!("{name}: {}", plain_text(value)), depth);
        return;
    }
    write_line(text, &format!("{name}:"), depth);
    write_fields(text, value, depth + 1);
}

fn write_line(text: &mut String, line: &str, depth: usize) {
    for _ in 0..depth {
        text.push_str("  ");
    }
    // Control characters are replaced, since they could manipulate the operator's terminal.
    text.extend(
        line.chars()
            .map(|letter| if letter.is_control() { ' ' } else { letter }),
    );
    text.push('\n');
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
