//! Reads the logs of entry hosts for `contention`, `explain` and `losses`.

use std::{fs, path::PathBuf};

use ashroad::entry::explain::Source;
use snafu::ResultExt;

use crate::error::{ReadSnafu, Result};

/// Content of one log file, with the path of the file as the name of the log.
#[derive(Debug)]
pub struct Log {
    name: String,
    text: String,
}

impl Log {
    /// Returns the name and the text of the log in the form that `contention_totals`, `explain` and
    /// `losses` of the library read.
    pub fn source(&self) -> Source<'_> {
        Source {
            name: &self.name,
            text: &self.text,
        }
    }
}

/// Reads log files completely into memory.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Log>> {
    let mut logs = Vec::new();
    for path in paths {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let name = path.display().to_string();
        logs.push(Log { name, text });
    }
    Ok(logs)
}
