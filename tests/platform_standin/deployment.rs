//! A deployment whose hosts each reach the store through a proxy of their own, with callers at all of them, and what
//! happens besides the fault that a test is about.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use tokio::{
    sync::Mutex,
    task::{JoinSet, LocalSet},
    time,
};

use super::{
    hosts::Host,
    proxy::{Mode, Proxy},
    server::{ReceivedRequest, Server},
    site::Site,
    traffic::{Sent, Traffic, Workload},
};

/// Time after a host has passed on that a server leaves in which it may still send it requests.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// Time after a cut in which a host owes nobody a bound.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Time within which a key is served again after a loss.
pub const SERVED_AGAIN: Duration = Duration::from_secs(3);
/// Hosts, and servers of each service.
pub const HOSTS: usize = 3;
pub const SERVERS: usize = 3;
/// One test plays at a time: together they would be over a hundred processes.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// What happens besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Nothing.
    Nothing,
    /// The store answers no host.
    StoreUnavailable,
    /// The store answers all hosts but the first.
    FirstHostPartitioned,
    /// The store answers all hosts but the one that has the duty.
    DutyHolderPartitioned,
    /// The server's entry is written again, as of one that is ready.
    ReadyEntryRewritten,
    /// The server's entry is removed, and comes back as of one that is ready.
    EntryExpires,
    /// The first host is frozen for a while.
    FirstHostPaused,
    /// A host starts.
    HostStarts,
}

/// All of them.
pub const ALL: [Disturbance; 8] = [
    Disturbance::Nothing,
    Disturbance::StoreUnavailable,
    Disturbance::FirstHostPartitioned,
    Disturbance::DutyHolderPartitioned,
    Disturbance::ReadyEntryRewritten,
    Disturbance::EntryExpires,
    Disturbance::FirstHostPaused,
    Disturbance::HostStarts,
];

impl Disturbance {
    /// Time after which callers must be served by other servers, given the time that one loss takes.
    pub fn recovery_limit(self, one_loss: Duration) -> Duration {
        match self {
            // The holder of the duty may be lost as well: another one takes the duty, then moves the keys.
            Self::FirstHostPartitioned | Self::DutyHolderPartitioned => CONTACT + SERVED_AGAIN,
            _ => one_loss,
        }
    }
}

/// A deployment whose hosts each reach the store through a proxy of their own.
pub struct Deployment {
    /// Store, servers and hosts.
    pub site: Site,
    /// Callers.
    pub traffic: Traffic,
    proxies: Vec<Proxy>,
}

impl Deployment {
    /// Starts one of the usual size.
    pub async fn start(workload: Workload) -> Self {
        Self::start_sized(workload, HOSTS, SERVERS).await
    }

    /// Starts hosts, servers of each service, and one caller at each host.
    pub async fn start_sized(workload: Workload, hosts: usize, servers: usize) -> Self {
        let site = Site::start_servers(servers).await;
        let mut deployment = Self {
            site,
            proxies: Vec::new(),
            traffic: Traffic::new(workload),
        };
        for _ in 0..hosts {
            deployment.add_host().await;
        }
        deployment.site.await_ready().await;
        for (place, host) in deployment.site.hosts.iter().enumerate() {
            deployment.traffic.add(place, host.callers);
        }
        // Each host has had answers of all servers, and the first moves for balance are over.
        time::sleep(Duration::from_secs(2)).await;
        deployment
    }

    async fn add_host(&mut self) {
        let proxy = Proxy::start(self.site.store.address).await;
        self.site.hosts.push(Host::start_at(proxy.address));
        self.proxies.push(proxy);
    }

    /// Place of the host that has the duty.
    fn duty_holder(&self) -> usize {
        let has_duty = |host: &Host| !host.events("duty_taken").is_empty();
        let place = self.site.hosts.iter().position(has_duty);
        place.expect("a holder")
    }

    /// Servers that get the requests.
    pub fn servers(&self, workload: Workload) -> &[Server] {
        match workload {
            Workload::Keys | Workload::BusyKeys => &self.site.keyed,
            Workload::Orders => &self.site.orders,
        }
    }

    /// The server that a test is about.
    pub fn server(&self, workload: Workload) -> &Server {
        &self.servers(workload)[0]
    }

    /// Lets `disturbance` happen for as long as `time`.
    pub async fn apply_disturbance(
        &mut self,
        disturbance: Disturbance,
        workload: Workload,
        time: Duration,
    ) {
        let end = Instant::now() + time;
        let hosts = self.proxies.len();
        let store = |deployment: &Self, mode: Mode, hosts: usize| {
            let proxies = deployment.proxies.iter().take(hosts);
            proxies.for_each(|proxy| proxy.set(mode));
        };
        match disturbance {
            Disturbance::Nothing => {}
            Disturbance::StoreUnavailable => store(self, Mode::Silent, hosts),
            Disturbance::FirstHostPartitioned => store(self, Mode::Silent, 1),
            Disturbance::DutyHolderPartitioned => {
                self.proxies[self.duty_holder()].set(Mode::Silent)
            }
            Disturbance::ReadyEntryRewritten => {
                while Instant::now() < end {
                    self.server(workload).write_entry(&self.site.store, "ready");
                    time::sleep(Duration::from_millis(400)).await;
                }
            }
            Disturbance::EntryExpires => {
                time::sleep(Duration::from_millis(300)).await;
                self.server(workload).remove_entry(&self.site.store);
                // Back only after the bound of what was told before.
                time::sleep(DRAIN).await;
                self.server(workload).write_entry(&self.site.store, "ready");
            }
            Disturbance::FirstHostPaused => {
                time::sleep(Duration::from_millis(300)).await;
                self.site.hosts[0].signal("STOP");
                time::sleep(Duration::from_millis(1_200)).await;
                self.site.hosts[0].signal("CONT");
            }
            Disturbance::HostStarts => {
                self.add_host().await;
                let place = self.site.hosts.len() - 1;
                self.traffic.add(place, self.site.hosts[place].callers);
            }
        }
        time::sleep(end.saturating_duration_since(Instant::now())).await;
        store(self, Mode::Pass, hosts);
    }
}

/// Requests that reached a server, each with what its caller knows of it.
pub fn received_by_host(
    server: &Server,
    traffic: &Traffic,
) -> HashMap<usize, Vec<(ReceivedRequest, Sent)>> {
    let sent = traffic.sent();
    let mut by_host: HashMap<usize, Vec<(ReceivedRequest, Sent)>> = HashMap::new();
    for visit in server.received_requests() {
        // What is still on its way, or came from the test itself, is left out.
        if let Some(sent) = sent.get(&visit.id) {
            by_host
                .entry(sent.host)
                .or_default()
                .push((visit, sent.clone()));
        }
    }
    by_host
}

/// Promises that were broken, as the servers saw it.
pub fn violations(deployment: &Deployment) -> Result<(), String> {
    let violations = deployment.site.record.violations();
    if violations.is_empty() {
        Ok(())
    } else {
        Err(violations.join("; "))
    }
}

/// Plays every case at the same time, each with a deployment of its own; tells all that failed.
pub async fn run_cases<F>(
    cases: impl IntoIterator<Item = (Disturbance, Workload)>,
    of: impl Fn(Disturbance, Workload) -> F,
) where
    F: Future<Output = Result<(), String>> + 'static,
{
    let _turn = RUN_LOCK.lock().await;
    let mut playing = JoinSet::new();
    let local = LocalSet::new();
    for (disturbance, workload) in cases {
        let played = of(disturbance, workload);
        playing.spawn_local_on(async move { (disturbance, workload, played.await) }, &local);
    }
    let mut failed = Vec::new();
    let all = async {
        while let Some(played) = playing.join_next().await {
            let (disturbance, workload, outcome) = played.expect("a case ends");
            if let Err(problem) = outcome {
                failed.push(format!("{workload:?}, {disturbance:?}: {problem}"));
            }
        }
    };
    local.run_until(all).await;
    assert!(failed.is_empty(), "{failed:#?}");
}
