//! Subcommand `ashroad losses`: counts lost requests by time, route and reason, from the logs of
//! hosts.

use ashroad::entry::{
    explain::Source,
    losses::{Loss, losses},
};

use crate::{
    app::LossesArgs,
    error::Result,
    logs::{self, Log},
    output,
};

/// Prints the lost requests by time interval, route, decision and reason.
pub fn run(args: &LossesArgs, json: bool) -> Result<()> {
    let logs = logs::read(&args.logs)?;
    let sources: Vec<Source<'_>> = logs.iter().map(Log::source).collect();
    let found = losses(&sources, args.step_s);
    if json {
        output::json(&found);
        return Ok(());
    }
    output::line("second      requests  servers  load  after ms  route, decision, reason");
    found.losses.iter().for_each(print_loss);
    if found.dropped_lines > 0 {
        let lines = found.dropped_lines;
        output::line(&format!("{lines} log lines were dropped by the hosts"));
    }
    Ok(())
}

fn print_loss(loss: &Loss) {
    output::line(&format!(
        "{:<11} {:>8}  {:>7}  {:>4.1}  {:>8.0}  {}, {}, {}",
        loss.at_unix_s,
        loss.requests,
        loss.servers,
        loss.load_mean,
        loss.after_mean_ms,
        loss.route,
        loss.decision,
        loss.reason
    ));
}
