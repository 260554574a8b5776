//! `ashroad demo`

use ashroad::{demo, logging};
use snafu::{ResultExt, ensure};

use crate::{
    error::{BrokenSnafu, DemoSnafu, Result},
    output,
};

/// Runs the demonstration; its last line is the summary as JSON.
pub async fn run(json: bool) -> Result<()> {
    logging::start(log::LevelFilter::Error);
    let tell = |text: &str| {
        if !json {
            output::line(text);
        }
    };
    let summary = demo::run(tell).await.context(DemoSnafu)?;
    if !json {
        output::line(&summary.to_string());
    }
    output::json(&summary);
    ensure!(summary.invariants_hold(), BrokenSnafu);
    Ok(())
}
