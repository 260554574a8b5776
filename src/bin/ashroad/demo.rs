//! Subcommand `ashroad demo`: runs the whole system in one process, with injected faults.

use ashroad::{demo, logging};
use snafu::{ResultExt, ensure};

use crate::{
    error::{BrokenSnafu, DemoSnafu, Result},
    output,
};

/// Runs the demonstration and prints the summary as JSON in the last line of output. Fails if an
/// invariant was violated.
pub async fn run(json: bool) -> Result<()> {
    logging::start(log::LevelFilter::Error);
    let print_step = |text: &str| {
        if !json {
            output::line(text);
        }
    };
    let summary = demo::run(print_step).await.context(DemoSnafu)?;
    if !json {
        output::line(&summary.to_string());
    }
    output::json(&summary);
    ensure!(summary.invariants_hold(), BrokenSnafu);
    Ok(())
}
