//! Subcommand `ashroad contention`: counts what happened to the requests for contended services,
//! from the logs of hosts.

use ashroad::entry::{
    contention_totals::{ContentionTotal, contention_totals},
    explain::Source,
};

use crate::{
    app::ContentionArgs,
    error::Result,
    logs::{self, Log},
    output,
};

/// Prints the requests of contended services by service, urgency and step.
pub fn run(args: &ContentionArgs, json: bool) -> Result<()> {
    let logs = logs::read(&args.logs)?;
    let sources: Vec<Source<'_>> = logs.iter().map(Log::source).collect();
    let found = contention_totals(&sources);
    if json {
        output::json(&found);
        return Ok(());
    }
    let titles: Vec<String> = found.steps.iter().map(|s| s.replace('_', " ")).collect();
    let service_width = found.totals.iter().map(|total| total.service.len());
    let service_width = service_width.max().unwrap_or(0).max("service".len());
    let heading = format!("{:<service_width$}  urgent  ", "service");
    output::line(&(heading + &titles.join("  ")));
    for total in &found.totals {
        output::line(&row(total, service_width, &titles));
    }
    if found.dropped_lines > 0 {
        let lines = found.dropped_lines;
        output::line(&format!("{lines} log lines were dropped by the hosts"));
    }
    Ok(())
}

/// Returns the row of a service and urgency, with each count below the title of its step.
fn row(total: &ContentionTotal, service_width: usize, titles: &[String]) -> String {
    let urgent = if total.is_urgent { "yes" } else { "no" };
    let counts = total.requests.iter().zip(titles);
    let counts = counts.map(|(count, title)| format!("{count:>0$}", title.len()));
    let counts: Vec<String> = counts.collect();
    let service = &total.service;
    format!(
        "{service:<service_width$}  {urgent:<6}  {}",
        counts.join("  ")
    )
}
