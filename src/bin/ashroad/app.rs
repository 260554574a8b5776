//! Definition of the command line: subcommands and their flags. The doc comments in this module are
//! the help texts that users see.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

const EXIT_CODES: &str = "\
Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid input (nothing changed), \
4 conflict with another change (nothing changed), 5 unreachable, 6 invariant violated.";

/// A router for servers that own keys exclusively.
#[derive(Debug, Parser)]
#[command(name = "ashroad", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// Print one JSON value instead of text.
    #[arg(long, global = true)]
    pub json: bool,
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of `ashroad`, one for each task of operators, hosts and developers.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry host.
    Serve(ServeArgs),
    /// Run an entry host on the users' platform.
    Entry(ServeArgs),
    /// Show the timeline of one request, from the logs of entry hosts.
    Explain(ExplainArgs),
    /// Count lost requests by second, route and reason, from the logs of entry hosts.
    Losses(LossesArgs),
    /// Count what happened to requests of contended services, from the logs of entry hosts.
    Contention(ContentionArgs),
    /// Check settings, templates and workspaces, and print every problem.
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
    /// Create certificates for the connections between hosts.
    Keys(KeysArgs),
    /// Run a stand-in of the platform or of a backend server.
    Standin(StandinArgs),
    /// Run the whole system in one process for half a minute, with injected faults.
    Demo,
    /// Send requests at a fixed rate and print latencies.
    Load(LoadArgs),
    /// Measure the planner and the cost of the control traffic.
    Bench(BenchArgs),
    /// Print a completion script for a shell.
    Completions(CompletionsArgs),
}

/// Flags of `serve` and `entry`, which both take nothing but a settings file.
#[derive(Debug, Args)]
pub struct ServeArgs {
    /// Settings file of this host, in YAML.
    #[arg(long)]
    pub settings: PathBuf,
}

/// Flags of `explain`: the request to trace and the logs to read.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Request identifier that the caller sent.
    pub request_id: String,
    /// Log files of the hosts, one JSON event per line.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Flags of `losses`: the logs to read and the length of the counted intervals.
#[derive(Debug, Args)]
pub struct LossesArgs {
    /// Length of the intervals by which requests are counted, in seconds.
    #[arg(long, default_value_t = 2)]
    pub step_s: u64,
    /// Log files of the hosts, one JSON event per line.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Flags of `contention`: the logs to read.
#[derive(Debug, Args)]
pub struct ContentionArgs {
    /// Log files of the hosts, one JSON event per line.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Flags of `check`, which reads files and calls no host.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// Files to check; a workspace needs its template among them.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// Flags that select an operators' API and authenticate to it.
#[derive(Clone, Debug, Args)]
pub struct ApiArgs {
    /// Address of the operators' API of any host.
    #[arg(long, env = "ASHROAD_API")]
    pub api: SocketAddr,
    /// File whose first line is the operators' token.
    #[arg(long, env = "ASHROAD_TOKEN_FILE")]
    pub token_file: Option<PathBuf>,
}

/// Flags of `template` and `workspace`, which have the same actions.
#[derive(Debug, Args)]
pub struct DeclarationArgs {
    /// Action on templates or workspaces.
    #[command(subcommand)]
    pub action: DeclarationAction,
}

/// Actions on declarations, i.e. on templates and workspaces.
#[derive(Debug, Subcommand)]
pub enum DeclarationAction {
    /// Submit a new declaration.
    Submit(SubmitArgs),
    /// Change an existing declaration.
    Amend(SubmitArgs),
    /// Remove a declaration.
    Withdraw(WithdrawArgs),
    /// Print a declaration.
    Show {
        /// Operators' API of the host to query.
        #[command(flatten)]
        api: ApiArgs,
        /// Name of the template or workspace, as written in its document.
        name: String,
    },
    /// List declarations.
    List(ApiArgs),
}

/// Flags of `submit` and `amend`: the document to send and the conditions of the change.
#[derive(Debug, Args)]
pub struct SubmitArgs {
    /// Operators' API to send the change to.
    #[command(flatten)]
    pub api: ApiArgs,
    /// File with the declaration, in YAML.
    pub file: PathBuf,
    /// Flags that every change accepts: its conditions, its author and whether to wait for it.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// Only show what would change.
    #[arg(long)]
    pub dry_run: bool,
}

/// Flags of `withdraw`: the declaration to remove and the conditions of the change.
#[derive(Debug, Args)]
pub struct WithdrawArgs {
    /// Operators' API to send the change to.
    #[command(flatten)]
    pub api: ApiArgs,
    /// Name of the template or workspace, as written in its document.
    pub name: String,
    /// Flags that every change accepts: its conditions, its author and whether to wait for it.
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Flags that every change accepts: its conditions, its author and whether to wait for it.
#[derive(Debug, Args)]
pub struct ChangeArgs {
    /// Refuse the change unless the configuration is at this revision.
    #[arg(long)]
    pub expect_revision: Option<u64>,
    /// Identifier of this change; a retry with the same identifier is not applied a second time.
    #[arg(long)]
    pub operation_id: Option<String>,
    /// Name of the person who makes the change, for the audit trail.
    #[arg(long, env = "USER")]
    pub actor: Option<String>,
    /// Wait until the change is in force on every registered host.
    #[arg(long)]
    pub wait: bool,
    /// Timeout of --wait, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub wait_ms: u64,
}

/// Flags of `owner`: the service and the key to look up.
#[derive(Debug, Args)]
pub struct OwnerArgs {
    /// Operators' API of the host to query.
    #[command(flatten)]
    pub api: ApiArgs,
    /// Service, as workspace/service.
    #[arg(long)]
    pub service: String,
    /// Key to look up, spelled as in callers' requests.
    pub key: String,
}

/// Flags of `audit`: the host to query and the revision to start after.
#[derive(Debug, Args)]
pub struct AuditArgs {
    /// Operators' API of the host to query.
    #[command(flatten)]
    pub api: ApiArgs,
    /// Show only entries after this revision; 0 shows the whole trail.
    #[arg(long, default_value_t = 0)]
    pub after: u64,
}

/// Flags of `host`: list all hosts, or stop the one whose API is called.
#[derive(Debug, Args)]
pub struct HostArgs {
    /// Action on hosts.
    #[command(subcommand)]
    pub action: HostAction,
}

/// Actions on hosts: list them, or begin the planned stop (an announced shutdown) of one.
#[derive(Debug, Subcommand)]
pub enum HostAction {
    /// List hosts.
    List(ApiArgs),
    /// Begin the planned stop of the host at this address: it drains its requests and exits.
    Drain(ApiArgs),
}

/// Flags of `keys`: the kind of certificate to create and its directory.
#[derive(Debug, Args)]
pub struct KeysArgs {
    /// Kind of certificate to create.
    #[command(subcommand)]
    pub action: KeysAction,
}

/// Kinds of certificates that `ashroad keys` creates.
#[derive(Debug, Subcommand)]
pub enum KeysAction {
    /// Create a certificate authority: ca.pem and ca-key.pem.
    Ca {
        /// Existing directory to write the files to.
        directory: PathBuf,
    },
    /// Create a host certificate, NAME.pem and NAME-key.pem, signed by the authority in the
    /// directory.
    Host {
        /// Directory with ca.pem and ca-key.pem.
        directory: PathBuf,
        /// Name of the host, used only for the names of the two files, e.g. host-1.
        name: String,
    },
}

/// Flags of `standin`: the system to replace and its simulated behaviour.
#[derive(Debug, Args)]
pub struct StandinArgs {
    /// System to replace: the platform or a backend server.
    #[command(subcommand)]
    pub kind: StandinKind,
}

/// Systems that a stand-in replaces in tests and trials.
#[derive(Debug, Subcommand)]
pub enum StandinKind {
    /// The platform: table service, object store and list of hosts.
    Platform {
        /// Address to listen on, as IP:PORT; port 0 picks a free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// A backend server.
    Server {
        /// Address to listen on, as IP:PORT; port 0 picks a free port.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Maximum number of requests that run at the same time.
        #[arg(long, default_value_t = 4)]
        slots: usize,
        /// Maximum number of requests that wait for a free slot; further ones are shed.
        #[arg(long, default_value_t = 64)]
        queue: usize,
        /// Run time of each request, in milliseconds.
        #[arg(long, default_value_t = 0)]
        work_ms: u64,
        /// Time after the start in which requests take 20 ms longer, in milliseconds.
        #[arg(long, default_value_t = 0)]
        cold_ms: u64,
        /// Run requests without checking their epoch and incarnation.
        #[arg(long)]
        no_checks: bool,
    },
}

/// Flags of `load`: targets, rate, duration and mix of the requests.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// Addresses of entry hosts, as IP:PORT; requests are sent to them in turn.
    #[arg(long, required = true, value_delimiter = ',')]
    pub to: Vec<SocketAddr>,
    /// Addresses of backend servers, to send the same load to them directly first.
    #[arg(long, value_delimiter = ',')]
    pub direct: Vec<SocketAddr>,
    /// Services, as /workspace/service, whose key is the path's first segment.
    #[arg(long, required = true, value_delimiter = ',')]
    pub service: Vec<String>,
    /// Requests per second, over all addresses.
    #[arg(long, default_value_t = 1_000)]
    pub rate_per_s: u64,
    /// Length of each run, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    pub duration_ms: u64,
    /// Number of distinct keys per service.
    #[arg(long, default_value_t = 10_000)]
    pub keys: u64,
    /// Exponent of the Zipf distribution of the keys; 0 for a uniform distribution.
    #[arg(long, default_value_t = 0.9)]
    pub zipf_exponent: f64,
    /// Share of unrepeatable requests, which run at most once (POST with an idempotency key).
    #[arg(long, default_value_t = 0.0)]
    pub unrepeatable_share: f64,
    /// Share of the unrepeatable requests that are sent twice.
    #[arg(long, default_value_t = 0.0)]
    pub duplicate_share: f64,
    /// Deadline of each request, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    pub deadline_ms: u64,
    /// Seed of the random choices of services, keys and kinds of requests.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Flags of `bench`: the measurement to run.
#[derive(Debug, Args)]
pub struct BenchArgs {
    /// Measurement to run.
    #[command(subcommand)]
    pub kind: BenchKind,
}

/// Measurements that `ashroad bench` offers.
#[derive(Debug, Subcommand)]
pub enum BenchKind {
    /// Compare the planner with baseline policies on generated days.
    Policy,
    /// Measure the planner's time and memory by number of slots and servers.
    Planner,
    /// Measure the cost of the control traffic by number of hosts.
    Control {
        /// Numbers of hosts, for each of which the cost is measured.
        #[arg(long, value_delimiter = ',', default_value = "8,32,128")]
        hosts: Vec<usize>,
    },
}

/// Flags of `completions`: the shell that will load the script.
#[derive(Debug, Args)]
pub struct CompletionsArgs {
    /// Shell to print the script for.
    pub shell: Shell,
}

/// Prints the completion script for a shell.
pub fn print_completions(shell: Shell) {
    let mut command = Cli::command();
    clap_complete::generate(shell, &mut command, "ashroad", &mut std::io::stdout());
}
