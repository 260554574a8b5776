//! Tests of hosts that are partitioned from all servers, while callers, the store and the other
//! hosts still reach them.

mod platform_standin;

use std::time::{Duration, Instant};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    time,
};

use self::platform_standin::{
    deployment::CONTACT_GRACE,
    hosts::Host,
    server_proxy::{Cut, Cuts},
    site::{Site, all_keys_held, eventually},
    traffic::{Traffic, Workload},
};

/// Time from the start of a partition to its end.
const PARTITION: Duration = Duration::from_secs(8);
/// Least share of the first attempts that partitioned hosts must serve in place of the other hosts.
const SERVED_SHARE_MIN: f64 = 2.0 / 3.0;
/// Least share of the first attempts that the other hosts must serve meanwhile.
const SERVED_ELSEWHERE_MIN: f64 = 0.95;
/// Lock that a test holds while it runs, since together they would start over 20 processes.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// Deployment of which some hosts are partitioned.
struct Case {
    name: &'static str,
    /// Availability zone of each host.
    zones: &'static [&'static str],
    /// Zone whose hosts are partitioned, but for the last `reachable` of them.
    partitioned: &'static str,
    reachable: usize,
    workload: Workload,
}

const CASES: [Case; 3] = [
    Case {
        name: "one host of a zone, keys",
        zones: &["b", "a", "a", "b"],
        partitioned: "b",
        reachable: 1,
        workload: Workload::Keys,
    },
    Case {
        name: "all hosts of a zone, keys",
        zones: &["b", "b", "a"],
        partitioned: "b",
        reachable: 0,
        workload: Workload::Keys,
    },
    Case {
        name: "all but one host, unrepeatable requests",
        zones: &["a", "a", "a"],
        partitioned: "a",
        reachable: 1,
        workload: Workload::Orders,
    },
];

fn events(host: &Host, name: &str) -> usize {
    host.events(name).len()
}

impl Case {
    /// Returns the indices of the hosts that are partitioned.
    fn partitioned_hosts(&self) -> Vec<usize> {
        let zones = self.zones.iter().enumerate();
        let in_zone = zones.filter(|(_, zone)| **zone == self.partitioned);
        let mut hosts: Vec<usize> = in_zone.map(|(index, _)| index).collect();
        hosts.truncate(hosts.len() - self.reachable);
        hosts
    }

    /// Returns the name of the case, and the shares of the requests that the partitioned hosts and
    /// the other hosts served, from [`CONTACT_GRACE`] after the start of a partition to its end.
    async fn served_shares(
        &self,
        cut: Cut,
        (site, cuts): (Site, Cuts),
    ) -> (&'static str, f64, f64) {
        let partitioned = self.partitioned_hosts();
        let (inside, outside) = (Traffic::new(self.workload), Traffic::new(self.workload));
        for (index, host) in site.hosts.iter().enumerate() {
            let traffic = if partitioned.contains(&index) {
                &inside
            } else {
                &outside
            };
            for _ in 0..3 {
                traffic.add(index, host.callers);
            }
        }
        time::sleep(Duration::from_secs(2)).await;
        let begin = Instant::now();
        set(&cuts, &site, &partitioned, Some(cut));
        time::sleep(PARTITION).await;
        set(&cuts, &site, &partitioned, None);
        let (from, until) = (begin + CONTACT_GRACE, begin + PARTITION);
        let shares = (
            self.name,
            inside.served(from, until),
            outside.served(from, until),
        );
        assert_eq!(
            site.record.violations(),
            Vec::<String>::new(),
            "{}",
            self.name
        );
        shares
    }
}

/// Begins the partition of hosts, or ends it if `cut` is `None`.
fn set(cuts: &Cuts, site: &Site, hosts: &[usize], cut: Option<Cut>) {
    for index in hosts {
        let pid = site.hosts[*index].pid();
        match cut {
            Some(cut) => cuts.begin(pid, cut),
            None => cuts.end(pid),
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_of_hosts_without_a_path_to_servers_are_served() {
    let _guard = RUN_LOCK.lock().await;
    let mut failed = Vec::new();
    for cut in Cut::ALL {
        let [first, second, third] = &CASES;
        // One after the other, since hosts that start together delay each other's starts.
        let first_site = Site::start_behind_proxies(first.zones, 3).await;
        let second_site = Site::start_behind_proxies(second.zones, 3).await;
        let third_site = Site::start_behind_proxies(third.zones, 3).await;
        let shares = tokio::join!(
            first.served_shares(cut, first_site),
            second.served_shares(cut, second_site),
            third.served_shares(cut, third_site)
        );
        for (name, inside, outside) in [shares.0, shares.1, shares.2] {
            if inside < SERVED_SHARE_MIN * outside || outside < SERVED_ELSEWHERE_MIN {
                failed.push(format!(
                    "{name}, {cut:?}: {inside:.3} served at partitioned hosts, {outside:.3} at others"
                ));
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn servers_that_one_host_cannot_reach_count_as_alive() {
    let _guard = RUN_LOCK.lock().await;
    let (site, cuts) = Site::start_behind_proxies(&["a", "a", "a"], 3).await;
    let traffic = Traffic::new(Workload::Keys);
    for (index, host) in site.hosts.iter().enumerate() {
        for _ in 0..3 {
            traffic.add(index, host.callers);
        }
    }
    time::sleep(Duration::from_secs(2)).await;
    for cut in [Cut::Reset, Cut::NewReset, Cut::Silent] {
        set(&cuts, &site, &[0], Some(cut));
        time::sleep(Duration::from_secs(4)).await;
        set(&cuts, &site, &[0], None);
        time::sleep(Duration::from_secs(2)).await;
    }
    for host in &site.hosts {
        for name in ["server_ended", "quarantined", "server_process_ended"] {
            assert_eq!(host.events(name), Vec::<String>::new(), "{name}");
        }
    }
}

fn leader(site: &Site) -> usize {
    let is_leader = |host: &Host| events(host, "duty_taken") > events(host, "duty_lost");
    let leader = site.hosts.iter().position(is_leader);
    leader.expect("a host is the leader")
}

/// Partitions the leader, and returns what failed.
async fn partition_leader(cut: Cut) -> Vec<String> {
    let (site, cuts) = Site::start_behind_proxies(&["a", "a", "a"], 3).await;
    let traffic = Traffic::new(Workload::Keys);
    for (index, host) in site.hosts.iter().enumerate() {
        traffic.add(index, host.callers);
    }
    time::sleep(Duration::from_secs(2)).await;
    let leader = leader(&site);
    let begin = Instant::now();
    set(&cuts, &site, &[leader], Some(cut));
    let is_taken_by_other = || {
        let mut hosts = site.hosts.iter().enumerate();
        hosts.any(|(index, host)| index != leader && events(host, "duty_taken") > 0)
    };
    while !is_taken_by_other() && begin.elapsed() < CONTACT_GRACE {
        time::sleep(Duration::from_millis(50)).await;
    }
    let mut failed = Vec::new();
    // Over its open connections the leader reaches all servers.
    let still_reaches = cut == Cut::NewReset;
    if !is_taken_by_other() && !still_reaches {
        failed.push(format!("{cut:?}: no other host has taken the leadership"));
    }
    // Longer than a lease, so that keys are lost unless somebody renews their leases.
    let mut unheld = 0;
    while begin.elapsed() < Duration::from_secs(12) {
        unheld += usize::from(!all_keys_held(&site.keyed));
        time::sleep(Duration::from_millis(100)).await;
    }
    if unheld > 0 {
        failed.push(format!(
            "{cut:?}: keys without a server in {unheld} readings"
        ));
    }
    let served = traffic.served(begin + CONTACT_GRACE, Instant::now());
    if served < 0.95 {
        failed.push(format!(
            "{cut:?}: {served:.3} of the requests of all hosts served"
        ));
    }
    set(&cuts, &site, &[leader], None);
    if events(&site.hosts[leader], "duty_taken") > 1 {
        failed.push(format!(
            "{cut:?}: the partitioned host has taken the leadership again"
        ));
    }
    failed.extend(site.record.violations());
    failed
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_without_a_path_to_servers_hands_the_leadership_over() {
    let _guard = RUN_LOCK.lock().await;
    let [first, second, third, fourth] = Cut::ALL.map(partition_leader);
    let failed = tokio::join!(first, second, third, fourth);
    let failed = [failed.0, failed.1, failed.2, failed.3].concat();
    assert!(failed.is_empty(), "{failed:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_uses_its_own_path_again_soon_after_a_partition() {
    let _guard = RUN_LOCK.lock().await;
    let (site, cuts) = Site::start_behind_proxies(&["a", "a", "a"], 3).await;
    let traffic = Traffic::new(Workload::Keys);
    for _ in 0..3 {
        traffic.add(0, site.hosts[0].callers);
    }
    time::sleep(Duration::from_secs(2)).await;
    for cut in Cut::ALL {
        set(&cuts, &site, &[0], Some(cut));
        time::sleep(Duration::from_secs(5)).await;
        set(&cuts, &site, &[0], None);
        let healed = Instant::now();
        eventually("the host's own path is in use", 2_000, async || {
            let text = site.hosts[0].metrics_text();
            let gauge = |line: &&str| line.starts_with("ashroad_unreachable_servers ");
            text.lines()
                .find(gauge)
                .is_some_and(|line| line.ends_with(" 0"))
        })
        .await;
        time::sleep(Duration::from_secs(2)).await;
        let served = traffic.served(healed + Duration::from_secs(1), Instant::now());
        assert!(
            served > 0.95,
            "{cut:?}: {served:.3} served after the partition"
        );
    }
}

#[tokio::test]
async fn a_tunnel_is_opened_only_for_a_sealed_request() {
    let _guard = RUN_LOCK.lock().await;
    let site = Site::start(1, 1).await;
    let target = site.orders[0].address;
    for authorization in ["", "Proxy-Authorization: Ashroad AAAAAAAAAAAA\r\n"] {
        let mut stream = TcpStream::connect(site.hosts[0].peers).await.expect("host");
        let request = format!("CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n{authorization}\r\n");
        stream.write_all(request.as_bytes()).await.expect("request");
        let mut response = [0; 12];
        stream.read_exact(&mut response).await.expect("response");
        assert_eq!(&response, b"HTTP/1.1 407", "{authorization}");
    }
}
