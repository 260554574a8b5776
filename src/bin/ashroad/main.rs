//! Command line of ashroad: runs hosts, and queries and changes a running system.

mod app;
mod bench;
mod check;
mod contention;
mod declaration;
mod demo;
mod entry;
mod error;
mod explain;
mod keys;
mod load;
mod logs;
mod losses;
mod output;
mod query;
mod serve;
mod standin;

use std::process::ExitCode;

use clap::Parser;

use self::{
    app::{Cli, Command},
    error::Result,
};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ashroad: {error}");
            error.exit_code()
        }
    }
}

fn run(cli: Cli) -> Result<()> {
    let json = cli.json;
    match cli.command {
        Command::Check(args) => check::run(&args, json),
        Command::Keys(args) => keys::run(&args),
        Command::Completions(args) => {
            app::print_completions(args.shell);
            Ok(())
        }
        Command::Serve(args) => block_on(serve::run(args)),
        Command::Entry(args) => entry::run(&args),
        Command::Explain(args) => explain::run(&args, json),
        Command::Losses(args) => losses::run(&args, json),
        Command::Contention(args) => contention::run(&args, json),
        Command::Standin(args) => block_on(standin::run(args)),
        Command::Template(args) => block_on(declaration::run_template(args, json)),
        Command::Workspace(args) => block_on(declaration::run_workspace(args, json)),
        Command::Status(api) => block_on(query::status(api, json)),
        Command::Owner(args) => block_on(query::owner(args, json)),
        Command::Audit(args) => block_on(query::audit(args, json)),
        Command::Bench(args) => block_on(bench::run(args, json)),
        Command::Demo => block_on(demo::run(json)),
        Command::Load(args) => block_on(load::run(args, json)),
        Command::Host(args) => block_on(query::host(args, json)),
    }
}

fn block_on(future: impl Future<Output = Result<()>>) -> Result<()> {
    ashroad::peer::keys::install_crypto_provider();
    let runtime =
        tokio::runtime::Runtime::new().map_err(|source| error::Error::Runtime { source })?;
    runtime.block_on(future)
}
