//! Subcommand `ashroad serve`: runs an entry host.

use std::net::SocketAddr;

use ashroad::{host, logging, settings::Settings};
use serde::Serialize;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    app::ServeArgs,
    error::{Error, HostSnafu, Result, RuntimeSnafu, SettingsSnafu},
    output,
};

/// Addresses that a host listens on. The command prints them as JSON when the host has started.
#[derive(Debug, Serialize)]
struct Listening {
    callers: SocketAddr,
    operators: SocketAddr,
}

/// Runs a host until a signal or an operator starts its planned stop, or until one of its tasks
/// fails.
pub async fn run(args: ServeArgs) -> Result<()> {
    let settings = Settings::read(&args.settings).context(SettingsSnafu)?;
    logging::start(settings.log.level);
    let mut terminate = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let mut running = host::start(settings).await.context(HostSnafu)?;
    output::json(&Listening {
        callers: running.callers,
        operators: running.operators,
    });
    let host = running.host.clone();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = host.stop_requested() => {}
        _ = running.failed() => return Err(Error::HostFailed),
    }
    log::info!("the planned stop begins");
    running.stop().await;
    Ok(())
}
