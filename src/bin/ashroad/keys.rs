//! Subcommand `ashroad keys`: creates certificates for the connections between hosts.

use ashroad::peer::keys;
use snafu::ResultExt;

use crate::{
    app::{KeysAction, KeysArgs},
    error::{KeysSnafu, Result},
};

/// Creates a certificate authority or a host certificate, as selected on the command line.
pub fn run(args: &KeysArgs) -> Result<()> {
    match &args.action {
        KeysAction::Ca { directory } => keys::create_ca(directory).context(KeysSnafu),
        KeysAction::Host { directory, name } => {
            keys::create_host(directory, name).context(KeysSnafu)
        }
    }
}
