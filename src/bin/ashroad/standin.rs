//! Subcommand `ashroad standin`: runs a stand-in (a test double) of the platform or of a backend
//! server.

use std::net::SocketAddr;

use ashroad::standin::{Running, backend, platform};
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    app::{StandinArgs, StandinKind},
    error::{Result, StandinSnafu},
    output,
};

/// Address that a stand-in listens on. The command prints it as JSON when the stand-in has started.
#[derive(Debug, Serialize)]
struct Listening {
    listen: SocketAddr,
}

/// Runs a stand-in until the process ends.
pub async fn run(args: StandinArgs) -> Result<()> {
    let running = start(args.kind).await.context(StandinSnafu)?;
    output::json(&Listening {
        listen: running.address,
    });
    running.wait().await;
    Ok(())
}

async fn start(kind: StandinKind) -> std::io::Result<Running> {
    match kind {
        StandinKind::Platform { listen } => platform::start(listen).await,
        StandinKind::Server {
            listen,
            slots,
            queue,
            work_ms,
            cold_ms,
            no_checks,
        } => {
            let config = backend::Config {
                listen,
                slots,
                queue,
                work_ms,
                cold_ms,
                checks_orders: !no_checks,
            };
            backend::start(config).await
        }
    }
}
