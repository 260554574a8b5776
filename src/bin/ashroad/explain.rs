//! `ashroad explain`

use ashroad::entry::explain::{self, Source, TimelineEntry};

use crate::{
    app::ExplainArgs,
    error::Result,
    logs::{self, Log},
    output,
};

/// Prints the story of one request. An unknown request has an empty story, which is no failure:
/// requests that were served without event are only sampled.
pub fn run(args: &ExplainArgs, json: bool) -> Result<()> {
    let logs = logs::read(&args.logs)?;
    let sources: Vec<Source<'_>> = logs.iter().map(Log::source).collect();
    let timeline = explain::explain(&args.request_id, &sources);
    if json {
        output::json(&timeline);
        return Ok(());
    }
    if timeline.is_empty() {
        output::line("no log has an event of this request; it was served, or its log is missing");
    }
    for line in &timeline {
        print_line(line);
    }
    Ok(())
}

fn print_line(line: &TimelineEntry) {
    let mark = if line.about_request { "*" } else { " " };
    let mut event = line.event.clone();
    if let Some(fields) = event.as_object_mut() {
        fields.remove("at_unix_ms");
    }
    output::line(&format!(
        "{mark} {} {} {event}",
        line.at_unix_ms, line.source
    ));
}
