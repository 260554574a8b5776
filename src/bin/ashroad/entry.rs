//! Subcommand `ashroad entry`: runs an entry host on the users' platform.

use ashroad::entry;
use snafu::ResultExt;
use tokio::runtime::Builder;

use crate::{
    app::ServeArgs,
    error::{EntrySnafu, Result, RuntimeSnafu},
};

/// Runs an entry host on the users' platform until a signal starts its planned stop. The async
/// runtime has a single thread, because a host has one processor core.
pub fn run(args: &ServeArgs) -> Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime
        .block_on(entry::run(&args.settings))
        .context(EntrySnafu)
}
