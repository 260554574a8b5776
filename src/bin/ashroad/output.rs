//! Printing for people and for programs.

use std::io::{Write, stdout};

use serde::Serialize;

/// Prints a line; a reader that has gone away is no error.
pub fn line(text: &str) {
    let _ = writeln!(stdout().lock(), "{text}");
}

/// Prints one JSON value on one line.
pub fn json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => line(&text),
        Err(error) => eprintln!("ashroad: {error}"),
    }
}
