//! Subcommand `ashroad explain`: prints the timeline of one request, from the logs of hosts.

use ashroad::entry::explain::{self, Source, TimelineEntry};

use crate::{
    app::ExplainArgs,
    error::Result,
    logs::{self, Log},
    output,
};

/// Prints the timeline of one request. An empty timeline is not an error, because hosts log only a
/// sample of the requests that are served without incident.
pub fn run(args: &ExplainArgs, json: bool) -> Result<()> {
    let logs = logs::read(&args.logs)?;
    let sources: Vec<Source<'_>> = logs.iter().map(Log::source).collect();
    let timeline = explain::explain(&args.request_id, &sources);
    if json {
        output::json(&timeline);
        return Ok(());
    }
    if timeline.is_empty() {
        output::line(
            "no event of this request found; it was served without incident, or a log is missing",
        );
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
