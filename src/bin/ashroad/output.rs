//! Output on stdout, as text lines or as JSON.

use std::io::{Write, stdout};

use serde::Serialize;

/// Prints a line. Write errors are ignored, so that a closed pipe does not make the command fail.
pub fn line(text: &str) {
    let _ = writeln!(stdout().lock(), "{text}");
}

/// Prints a value as JSON on one line.
pub fn json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => line(&text),
        Err(error) => eprintln!("ashroad: {error}"),
    }
}
