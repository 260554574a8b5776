//! Subcommand `ashroad check`: checks files offline and prints every problem found.

use std::{
    fs,
    path::{Path, PathBuf},
};

use ashroad::{
    configuration::{Template, Workspace, expand, template::read_document},
    entry,
    settings::Settings,
};
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    app::CheckArgs,
    error::{Error, ReadSnafu, Result},
    output,
};

/// One problem found in one file. The command prints it as a line of text or as JSON.
#[derive(Debug, Serialize)]
struct Problem {
    file: PathBuf,
    problem: String,
}

/// Kind of document that a file contains. Settings are checked while the file is read, so the
/// values of the settings are not kept.
enum Document {
    Template(Template),
    Workspace(Workspace),
    Settings,
}

/// Checks the files and prints every problem. Fails if there is any problem.
pub fn run(args: &CheckArgs, json: bool) -> Result<()> {
    let mut problems = Vec::new();
    let mut templates = Vec::new();
    let mut workspaces = Vec::new();
    for file in &args.files {
        let bytes = fs::read(file).context(ReadSnafu { path: file })?;
        match read(file, &bytes) {
            Ok(Document::Template(template)) => {
                add(&mut problems, file, template.problems());
                templates.push(template);
            }
            Ok(Document::Workspace(workspace)) => workspaces.push((file, workspace)),
            Ok(Document::Settings) => {}
            Err(problem) => add(&mut problems, file, [problem]),
        }
    }
    for (file, workspace) in workspaces {
        let template = templates.iter().find(|t| t.template == workspace.template);
        let Some(template) = template else {
            let problem = format!(
                "template: {:?}; expected a template among the files checked",
                workspace.template
            );
            add(&mut problems, file, [problem]);
            continue;
        };
        if let Err(found) = expand(template, &workspace) {
            add(&mut problems, file, found);
        }
    }
    report(&problems, args.files.len(), json)
}

fn add<P: ToString>(problems: &mut Vec<Problem>, file: &Path, found: impl IntoIterator<Item = P>) {
    problems.extend(found.into_iter().map(|problem| Problem {
        file: file.to_owned(),
        problem: problem.to_string(),
    }));
}

/// Parses a file as the kind of document that its top-level fields indicate.
fn read(file: &Path, bytes: &[u8]) -> std::result::Result<Document, String> {
    let text = String::from_utf8_lossy(bytes);
    let begins = |field: &str| text.lines().any(|line| line.starts_with(field));
    if begins("template:") && begins("services:") {
        let read = read_document(bytes).map(Document::Template);
        return read.map_err(|error| error.to_string());
    }
    if begins("workspace:") {
        let read = Workspace::read(bytes).map(Document::Workspace);
        return read.map_err(|error| error.to_string());
    }
    // The field server_heartbeat occurs only in the settings of an entry host on the users'
    // platform.
    let read = if text.contains("server_heartbeat") {
        entry::Settings::read(file).map(|_| Document::Settings)
    } else {
        Settings::read(file).map(|_| Document::Settings)
    };
    read.map_err(|error| {
        let whole = error.to_string();
        let prefix = format!("{}: ", file.display());
        whole.strip_prefix(&prefix).unwrap_or(&whole).to_owned()
    })
}

fn report(problems: &[Problem], files: usize, json: bool) -> Result<()> {
    if json {
        output::json(&problems);
    } else {
        for problem in problems {
            output::line(&format!("{}: {}", problem.file.display(), problem.problem));
        }
    }
    if problems.is_empty() {
        return Ok(());
    }
    Err(Error::Problems {
        count: problems.len(),
        files,
    })
}
