//! Logs of entry hosts that a subcommand reads.

use std::{fs, path::PathBuf};

use ashroad::entry::explain::Source;
use snafu::ResultExt;

use crate::error::{ReadSnafu, Result};

/// A log with its name.
#[derive(Debug)]
pub struct Log {
    name: String,
    text: String,
}

impl Log {
    /// The log as the library takes it.
    pub fn source(&self) -> Source<'_> {
        Source {
            name: &self.name,
            text: &self.text,
        }
    }
}

/// Reads logs.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Log>> {
    let mut logs = Vec::new();
    for path in paths {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        let name = path.display().to_string();
        logs.push(Log { name, text });
    }
    Ok(logs)
}
