//! `ashroad entry`

use ashroad::entry;
use snafu::ResultExt;
use tokio::runtime::Builder;

use crate::{
    app::ServeArgs,
    error::{EntrySnafu, Result, RuntimeSnafu},
};

/// Runs an entry host on the users' platform until a signal asks for its planned stop. A host has
/// one core, so one thread does all the work.
pub fn run(args: &ServeArgs) -> Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime
        .block_on(entry::run(&args.settings))
        .context(EntrySnafu)
}
