//! Flags and subcommands.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

const EXIT_CODES: &str = "\
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 faulty input (nothing changed), \
4 another change came first (nothing changed), 5 unreachable, 6 an invariant broke.";

/// A router for servers that own keys exclusively.
#[derive(Debug, Parser)]
#[command(name = "ashroad", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// Print one JSON value instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry host.
    Serve(ServeArgs),
    /// Run an entry host on the users' platform.
    Entry(ServeArgs),
    /// Tell what happened to a request, from the logs of entry hosts.
    Explain(ExplainArgs),
    /// Count lost requests by second, route and reason, from the logs of entry hosts.
    Losses(LossesArgs),
    /// Check settings, templates and workspaces; print every problem.
    Check(CheckArgs),
    /// Submit, withdraw and show templates.
    Template(DeclarationArgs),
    /// Submit, withdraw and show workspaces.
    Workspace(DeclarationArgs),
    /// Show hosts, servers and services.
    Status(ApiArgs),
    /// Show which server owns a key.
    Owner(OwnerArgs),
    /// Show the audit trail.
    Audit(AuditArgs),
    /// List hosts, or begin the planned stop of one.
    Host(HostArgs),
    /// Make certificates for the connections between hosts.
    Keys(KeysArgs),
    /// Run a stand-in of the platform or of a backend server.
    Standin(StandinArgs),
    /// Show the whole system at work in one process, with faults, for half a minute.
    Demo,
    /// Send requests at a fixed rate and print latencies.
    Load(LoadArgs),
    /// Measure the decisions and the cost of control.
    Bench(BenchArgs),
    /// Print a shell's completion script.
    Completions(CompletionsArgs),
}

/// Flags of `serve`.
#[derive(Debug, Args)]
pub struct ServeArgs {
    /// Settings of this host, in YAML.
    #[arg(long)]
    pub settings: PathBuf,
}

/// Flags of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Identifier of the request, as its caller gave it.
    pub request_id: String,
    /// Logs of the hosts.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Flags of `losses`.
#[derive(Debug, Args)]
pub struct LossesArgs {
    /// Seconds that are counted together.
    #[arg(long, default_value_t = 2)]
    pub step_s: u64,
    /// Logs of the hosts.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Flags of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Files; workspaces are checked against the templates named with them.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Where a host's operators' API is.
#[derive(Clone, Debug, Args)]
pub struct ApiArgs {
    /// Address of any host's operators' API.
    #[arg(long, env = "ASHROAD_API")]
    pub api: SocketAddr,
    /// File with the operators' token.
    #[arg(long, env = "ASHROAD_TOKEN_FILE")]
    pub token_file: Option<PathBuf>,
}

/// Flags of `template` and `workspace`.
#[derive(Debug, Args)]
pub struct DeclarationArgs {
    /// What to do.
    #[command(subcommand)]
    pub action: DeclarationAction,
}

/// Actions on declarations.
#[derive(Debug, Subcommand)]
pub enum DeclarationAction {
    /// Put a new declaration in force.
    Submit(SubmitArgs),
    /// Change a declaration in force.
    Amend(SubmitArgs),
    /// Take a declaration out of force.
    Withdraw(WithdrawArgs),
    /// Print a declaration.
    Show {
        /// Where to ask.
        #[command(flatten)]
        api: ApiArgs,
        /// Name.
        name: String,
    },
    /// List declarations.
    List(ApiArgs),
}

/// Flags of `submit` and `amend`.
#[derive(Debug, Args)]
pub struct SubmitArgs {
    /// Where to ask.
    #[command(flatten)]
    pub api: ApiArgs,
    /// Declaration, in YAML.
    pub file: PathBuf,
    /// Flags of every change.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// Only show what would change.
    #[arg(long)]
    pub dry_run: bool,
}

/// Flags of `withdraw`.
#[derive(Debug, Args)]
pub struct WithdrawArgs {
    /// Where to ask.
    #[command(flatten)]
    pub api: ApiArgs,
    /// Name.
    pub name: String,
    /// Flags of every change.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Flags of every change.
#[derive(Debug, Args)]
pub struct ChangeArgs {
    /// Refuse if the configuration is not at this revision.
    #[arg(long)]
    pub expect_revision: Option<u64>,
    /// Identifier of this change; repeated, it is not applied twice.
    #[arg(long)]
    pub operation_id: Option<String>,
    /// Who makes the change, for the audit trail.
    #[arg(long, env = "USER")]
    pub actor: Option<String>,
    /// Return only when the change is in force on every fresh host.
    #[arg(long)]
    pub wait: bool,
    /// Longest wait.
    #[arg(long, default_value_t = 10_000)]
    pub wait_ms: u64,
}

/// Flags of `owner`.
#[derive(Debug, Args)]
pub struct OwnerArgs {
    /// Where to ask.
    #[command(flatten)]
    pub api: ApiArgs,
    /// Service, as workspace/service.
    #[arg(long)]
    pub service: String,
    /// Key.
    pub key: String,
}

/// Flags of `audit`.
#[derive(Debug, Args)]
pub struct AuditArgs {
    /// Where to ask.
    #[command(flatten)]
    pub api: ApiArgs,
    /// Only entries after this revision.
    #[arg(long, default_value_t = 0)]
    pub after: u64,
}

/// Flags of `host`.
#[derive(Debug, Args)]
pub struct HostArgs {
    /// What to do.
    #[command(subcommand)]
    pub action: HostAction,
}

/// Actions on hosts.
#[derive(Debug, Subcommand)]
pub enum HostAction {
    /// List hosts.
    List(ApiArgs),
    /// Begin the planned stop of the host at this address.
    Drain(ApiArgs),
}

/// Flags of `keys`.
#[derive(Debug, Args)]
pub struct KeysArgs {
    /// What to make.
    #[command(subcommand)]
    pub action: KeysAction,
}

/// Certificates to make.
#[derive(Debug, Subcommand)]
pub enum KeysAction {
    /// Make a certificate authority: ca.pem and ca-key.pem.
    Ca {
        /// Existing directory.
        directory: PathBuf,
    },
    /// Make a host's certificate, NAME.pem and NAME-key.pem, with the authority in the directory.
    Host {
        /// Directory with ca.pem and ca-key.pem.
        directory: PathBuf,
        /// Name of the host.
        name: String,
    },
}

/// Flags of `standin`.
#[derive(Debug, Args)]
pub struct StandinArgs {
    /// Which stand-in.
    #[command(subcommand)]
    pub kind: StandinKind,
}

/// Stand-ins.
#[derive(Debug, Subcommand)]
pub enum StandinKind {
    /// Table service, object store and list of hosts.
    Platform {
        /// Listening address.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// A backend server.
    Server {
        /// Listening address.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Requests that run at a time.
        #[arg(long, default_value_t = 4)]
        slots: usize,
        /// Requests that wait for a slot.
        #[arg(long, default_value_t = 64)]
        queue: usize,
        /// Time that a request runs.
        #[arg(long, default_value_t = 0)]
        work_ms: u64,
        /// Time after the start in which requests take 20 ms longer.
        #[arg(long, default_value_t = 0)]
        cold_ms: u64,
        /// Take orders from anyone, however old.
        #[arg(long)]
        no_checks: bool,
    },
}

/// Flags of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Addresses of entry hosts.
    #[arg(long, required = true, value_delimiter = ',')]
    pub to: Vec<SocketAddr>,
    /// Addresses of backend servers, for the same requests without ashroad first.
    #[arg(long, value_delimiter = ',')]
    pub direct: Vec<SocketAddr>,
    /// Services, as /workspace/service, whose key is the path's first segment.
    #[arg(long, required = true, value_delimiter = ',')]
    pub service: Vec<String>,
    /// Requests a second.
    #[arg(long, default_value_t = 1_000)]
    pub rate_per_s: u64,
    /// Length of each run.
    #[arg(long, default_value_t = 10_000)]
    pub duration_ms: u64,
    /// Number of keys.
    #[arg(long, default_value_t = 10_000)]
    pub keys: u64,
    /// Exponent of the keys' Zipf distribution; 0 for all alike.
    #[arg(long, default_value_t = 0.9)]
    pub zipf_exponent: f64,
    /// Share of requests that are unrepeatable orders.
    #[arg(long, default_value_t = 0.0)]
    pub unrepeatable_share: f64,
    /// Share of the orders that are sent twice.
    #[arg(long, default_value_t = 0.0)]
    pub duplicate_share: f64,
    /// Deadline of each request.
    #[arg(long, default_value_t = 5_000)]
    pub deadline_ms: u64,
    /// Seed of the random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Flags of `bench`.
#[derive(Debug, Args)]
pub struct BenchArgs {
    /// What to measure.
    #[command(subcommand)]
    pub kind: BenchKind,
}

/// Measurements.
#[derive(Debug, Subcommand)]
pub enum BenchKind {
    /// The planner against baselines on generated days.
    Policy,
    /// Time and memory against slots and servers.
    Planner,
    /// The cost of control against the number of hosts.
    Control {
        /// Numbers of hosts.
        #[arg(long, value_delimiter = ',', default_value = "8,32,128")]
        hosts: Vec<usize>,
    },
}

/// Flags of `completions`.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// Shell.
    pub shell: Shell,
}

/// Prints a completion script.
pub fn print_completions(shell: Shell) {
    let mut command = Cli::command();
    clap_complete::generate(shell, &mut command, "ashroad", &mut std::io::stdout());
}
