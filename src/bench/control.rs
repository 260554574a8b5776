//! Measures the cost per host of the coordination between hosts, for different numbers of hosts.
//! Entry hosts and stand-ins (test doubles) of the platform and of backend servers run in this
//! process. No caller sends requests.

use std::time::Duration;

use serde::Serialize;
use tokio::time;

use super::process;
use crate::{
    demo::{Error, System},
    standin::platform::Counters,
};

/// Additional time in milliseconds per host for which the hosts run before the measurement, so that
/// all hosts have registered. The time is added to [`SETTLE_MS`].
const SETTLE_MS_PER_HOST: u64 = 60;
/// Time in milliseconds for which the hosts run before the measurement, so that their registration
/// is complete. [`SETTLE_MS_PER_HOST`] is added for each host.
const SETTLE_MS: u64 = 6_000;
/// Duration of the measurement in milliseconds.
const MEASURE_MS: u64 = 10_000;

/// Cost of the coordination between hosts, measured with a fixed number of hosts.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ControlFigures {
    /// Number of hosts that ran during the measurement.
    pub hosts: usize,
    /// Number of hosts that were quorum members (counted in majorities) during the measurement.
    pub counted: usize,
    /// Bytes sent per second over the loopback interface, divided by the number of hosts. The
    /// traffic of the stand-ins is included.
    pub sent_bytes_per_s: f64,
    /// Processor time that the process uses, as a fraction of one core, divided by the number of
    /// hosts. The work of the stand-ins is included.
    pub core_share: f64,
    /// Increase of the resident memory of the process in bytes, divided by the number of hosts. The
    /// memory of the stand-ins is included.
    pub resident_bytes: f64,
    /// Number of reads of the platform's table service per second, by all hosts together.
    pub reads_per_s: f64,
    /// Number of transactions of the platform's table service per second, by all hosts together.
    pub transactions_per_s: f64,
}

/// Measures the cost of the coordination between `hosts` hosts. Fails if a component cannot be
/// started or the declarations do not come into force.
pub async fn run(hosts: usize) -> Result<ControlFigures, Error> {
    let memory = process::resident_bytes();
    let system = System::start(hosts).await?;
    system.declare().await?;
    time::sleep(Duration::from_millis(
        SETTLE_MS + SETTLE_MS_PER_HOST * hosts as u64,
    ))
    .await;
    let counted = system.quorum_size();
    let before = CounterSnapshot::take(&system).await;
    time::sleep(Duration::from_millis(MEASURE_MS)).await;
    let after = CounterSnapshot::take(&system).await;
    let resident = process::resident_bytes().saturating_sub(memory);
    system.stop().await;
    let seconds = MEASURE_MS as f64 / 1_000.0;
    let share = |span: u64| span as f64 / seconds / hosts as f64;
    let (calls, earlier) = (after.counters, before.counters);
    Ok(ControlFigures {
        hosts,
        counted,
        sent_bytes_per_s: share(after.sent_bytes - before.sent_bytes),
        core_share: share(after.cpu_ms - before.cpu_ms) / 1_000.0,
        resident_bytes: resident as f64 / hosts as f64,
        reads_per_s: (calls.reads - earlier.reads) as f64 / seconds,
        transactions_per_s: (calls.transactions - earlier.transactions) as f64 / seconds,
    })
}

/// Values of the measured counters at one time. The difference between two snapshots is the
/// increase of the counters during the measurement.
struct CounterSnapshot {
    cpu_ms: u64,
    sent_bytes: u64,
    counters: Counters,
}

impl CounterSnapshot {
    async fn take(system: &System) -> Self {
        Self {
            cpu_ms: process::cpu_ms(),
            sent_bytes: process::loopback_sent_bytes(),
            counters: system.platform_counters().await,
        }
    }
}
