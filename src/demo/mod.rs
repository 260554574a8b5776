//! Demonstration in one process. Stand-ins (test doubles) of the platform and of backend servers
//! run together with three entry hosts and both example templates under a mixed load. During the
//! load one server is lost, another server is withdrawn so that its keys move, and a host makes a
//! planned stop.

mod error;
mod system;
mod verdict;

pub(crate) use self::system::System;
pub use self::{error::Error, verdict::Summary};

use std::time::Duration;

use tokio::time;

use self::verdict::{Baseline, Disturbances};
use crate::{
    clock,
    load::{self, LoadConfig, LoadReport, Sample},
};

/// Number of entry hosts of the demonstration.
const HOSTS: usize = 3;
/// Duration in milliseconds of each of the two baseline measurements, one directly at the servers
/// and one through the hosts.
const BASELINE_MS: u64 = 2_000;
/// Time in milliseconds after the start of the mixed load at which a server freezes.
const LOSS_AT_MS: u64 = 4_000;
/// Time in milliseconds after the start of the mixed load at which another server is withdrawn from
/// its workspace, so that its keys move.
const MOVE_AT_MS: u64 = 10_000;
/// Time in milliseconds after the start of the mixed load at which a host makes its planned stop.
const STOP_AT_MS: u64 = 14_000;
/// Duration of the mixed load in milliseconds.
const RUN_MS: u64 = 18_000;
/// Requests per second of every load of the demonstration.
const RATE_PER_S: u64 = 900;
/// Number of distinct keys per service that the load generator requests.
const KEYS: u64 = 2_000;
/// Seed of the random choices of the load generator.
const SEED: u64 = 11;

/// Runs the demonstration and returns its figures. Calls `report_event` with one line of text for
/// each event, such as the start of a phase or the loss of a server.
pub async fn run(report_event: impl Fn(&str)) -> Result<Summary, Error> {
    report_event("starting a platform, 12 backend servers and 3 entry hosts");
    let mut system = System::start(HOSTS).await?;
    report_event("declaring both example templates and their workspaces");
    system.declare().await?;
    let baseline = measure_baseline(&system, &report_event).await;
    report_event(&format!(
        "{RATE_PER_S} requests/s for {} s, mixed",
        RUN_MS / 1_000
    ));
    let load_task = tokio::spawn(load::run(mixed_load(&system)));
    let disturbances = inject_disturbances(&mut system, &report_event).await?;
    let samples = load_task.await.unwrap_or_default();
    // A server updates its record shortly after it has sent the response, so the records are read
    // after a delay.
    time::sleep(Duration::from_millis(300)).await;
    let records = system.records().await;
    system.stop().await;
    Ok(verdict::summarize(
        &samples,
        &records,
        baseline,
        &disturbances,
    ))
}

/// Measures the latencies of the same load twice: first with requests sent directly to the servers,
/// and then with requests sent through the hosts.
async fn measure_baseline(system: &System, report_event: &impl Fn(&str)) -> Baseline {
    let through = LoadConfig {
        unrepeatable_share: 0.0,
        duration_ms: BASELINE_MS,
        ..mixed_load(system)
    };
    let direct = LoadConfig {
        addresses: system.server_addresses(),
        ..through.clone()
    };
    let direct = LoadReport::of(&load::run(direct).await);
    let through = LoadReport::of(&load::run(through).await);
    report_event(&format!("direct:  {direct}"));
    report_event(&format!("through: {through}"));
    Baseline { direct, through }
}

fn mixed_load(system: &System) -> LoadConfig {
    LoadConfig {
        addresses: system.caller_addresses(),
        services: system::service_paths(),
        rate_per_s: RATE_PER_S,
        duration_ms: RUN_MS,
        keys: KEYS,
        zipf_exponent: 0.8,
        unrepeatable_share: 0.1,
        duplicate_share: 0.1,
        deadline_ms: 4_000,
        seed: SEED,
    }
}

/// Injects three disturbances (events that may fail requests or move keys) at fixed times after the
/// start of the mixed load: the loss of a server, the withdrawal of another server, and the planned
/// stop of a host.
async fn inject_disturbances(
    system: &mut System,
    report_event: &impl Fn(&str),
) -> Result<Disturbances, Error> {
    let start_ms = clock::now_ms();
    let wait_until = |at_ms: u64| {
        let left_ms = (start_ms + at_ms).saturating_sub(clock::now_ms());
        time::sleep(Duration::from_millis(left_ms))
    };
    wait_until(LOSS_AT_MS).await;
    let lost_keys = system.keys_of_lost_server(KEYS);
    let lost_us = clock::unix_us();
    report_event("a backend server freezes and is declared lost");
    system.freeze_server().await?;
    wait_until(MOVE_AT_MS).await;
    report_event("the lost server resumes; another server is withdrawn from its workspace");
    system.unfreeze_server().await?;
    system.withdraw_target().await?;
    wait_until(STOP_AT_MS).await;
    report_event("a host makes its planned stop");
    let stopped = system.stop_host().await;
    Ok(Disturbances {
        lost_us,
        lost_keys,
        stopped,
    })
}

/// Returns true if neither the loss of the server nor the planned stop of the host can have
/// affected the request of a sample. A request may have been affected if the lost server owned the
/// requested key, or if the request was sent to the stopped host and had not ended when the planned
/// stop of that host began.
pub(crate) fn undisturbed(sample: &Sample, disturbances: &Disturbances) -> bool {
    let after_stop = disturbances.stopped.address == sample.address
        && sample.intended_us + sample.latency_us >= disturbances.stopped.at_us;
    let lost = disturbances
        .lost_keys
        .iter()
        .any(|lost| lost.service == sample.service && lost.key == sample.key);
    !after_stop && !lost
}
