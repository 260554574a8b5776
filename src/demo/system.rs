//! Components of the demonstration, which run as tasks of one process.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

use snafu::ResultExt;
use tokio::time;

use super::{
    error::{CallSnafu, DirectorySnafu, Error, HostSnafu, KeysSnafu, StandinSnafu},
    verdict::{LostKey, Stopped},
};
use crate::{
    clock,
    host::{self, RunningHost},
    operator::{
        client::{DeclarationKind, OperatorClient},
        message::SubmitBody,
    },
    peer::keys,
    routing::key,
    settings::{
        Callers, ClaimSettings, LogSettings, MetricsSettings, Operators, Ownership, Peers,
        PlatformSettings, Settings,
    },
    standin::{
        Running,
        backend::{self, Faults, Record},
        platform,
    },
    transport::JsonClient,
};

/// Number of backend servers of the demonstration.
const SERVERS: usize = 12;
/// Availability zones, to which hosts and servers are assigned in turn.
const ZONES: [&str; 3] = ["bern-ost", "solothurn", "aarau"];
/// Timeout in milliseconds within which every slot must get an owner after the declarations have
/// been submitted.
const SETTLE_TIMEOUT_MS: u64 = 15_000;
/// Timeout in milliseconds of a submission with its retries, and of each call to a stand-in.
const SUBMIT_TIMEOUT_MS: u64 = 10_000;
/// Interval in milliseconds between attempts of a submission, and between checks of a condition.
const POLL_MS: u64 = 50;
/// Index of the server that freezes and is lost.
const LOST_SERVER: usize = 0;
/// Index of the server that is withdrawn from its workspace.
const LEAVING_SERVER: usize = 1;
/// Index of the host that makes a planned stop.
const STOPPED_HOST: usize = 2;

const DRAINAGE_TEMPLATE: &str = include_str!("../../examples/mittelland/template.yaml");
const RESORT_TEMPLATE: &str = include_str!("../../examples/etna/template.yaml");

/// Service of the demonstration, with the indices of its servers among all servers of the
/// demonstration.
struct Placement {
    workspace: &'static str,
    service: &'static str,
    servers: &'static [usize],
}

const PLACEMENTS: [Placement; 8] = [
    placement("mittelland", "pegel", &[0, 1, 2]),
    placement("mittelland", "kataster", &[3, 4, 5]),
    placement("mittelland", "unterhalt", &[0, 3]),
    placement("mittelland", "beitrag", &[4, 5]),
    placement("etna", "tiles", &[6, 7, 8]),
    placement("etna", "notices", &[9, 10]),
    placement("etna", "bookings", &[10, 11]),
    placement("etna", "atlas", &[8, 11]),
];

const fn placement(
    workspace: &'static str,
    service: &'static str,
    servers: &'static [usize],
) -> Placement {
    Placement {
        workspace,
        service,
        servers,
    }
}

/// Returns the paths of the services whose key is in the path of the request. The service `beitrag`
/// is left out, because the load generator sends keys only in paths.
pub(crate) fn service_paths() -> Vec<String> {
    let by_path = PLACEMENTS.iter().filter(|p| p.service != "beitrag");
    by_path
        .map(|p| format!("/{}/{}", p.workspace, p.service))
        .collect()
}

/// Running components of the demonstration: the platform stand-in, the backend servers and the
/// hosts.
pub(crate) struct System {
    platform: Running,
    servers: Vec<Running>,
    hosts: Vec<RunningHost>,
    directory: PathBuf,
}

impl System {
    /// Starts the platform stand-in, the backend servers and `hosts` entry hosts, with newly
    /// created certificates.
    pub(crate) async fn start(hosts: usize) -> Result<Self, Error> {
        let name = format!("ashroad-demo-{}-{hosts}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).context(DirectorySnafu)?;
        keys::create_ca(&directory).context(KeysSnafu)?;
        std::fs::write(directory.join("token"), "demo").context(DirectorySnafu)?;
        let platform = platform::start(loopback_address())
            .await
            .context(StandinSnafu)?;
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let config = backend::Config {
                listen: loopback_address(),
                slots: if index < SERVERS / 2 { 4 } else { 6 },
                queue: 64,
                work_ms: 1,
                cold_ms: 0,
                checks_orders: true,
            };
            servers.push(backend::start(config).await.context(StandinSnafu)?);
        }
        let mut running = Vec::new();
        for (index, zone) in (0..hosts).zip(ZONES.iter().cycle()) {
            let name = format!("host-{index}");
            keys::create_host(&directory, &name).context(KeysSnafu)?;
            let settings = settings(&directory, &name, zone, platform.address);
            running.push(host::start(settings).await.context(HostSnafu)?);
        }
        Ok(Self {
            platform,
            servers,
            hosts: running,
            directory,
        })
    }

    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    pub(crate) fn server_addresses(&self) -> Vec<SocketAddr> {
        self.servers.iter().map(|server| server.address).collect()
    }

    /// Submits the templates and workspaces, and waits until every host's state has an owner for
    /// every slot and no slot moves.
    pub(crate) async fn declare(&self) -> Result<(), Error> {
        self.submit(DeclarationKind::Template, DRAINAGE_TEMPLATE.to_owned())
            .await?;
        self.submit(DeclarationKind::Template, RESORT_TEMPLATE.to_owned())
            .await?;
        for workspace in ["mittelland", "etna"] {
            let document = self.workspace(workspace, None);
            self.submit(DeclarationKind::Workspace, document).await?;
        }
        let settled = |host: &RunningHost| {
            let state = host.host.view.state();
            let slots = state
                .active_services()
                .flat_map(|(_, service)| &service.slots);
            let mut slots = slots.peekable();
            slots.peek().is_some() && slots.all(|slot| slot.stable_owner().is_some())
        };
        self.wait_for("every slot has an owner", settled).await
    }

    async fn wait_for(
        &self,
        what: &'static str,
        holds: impl Fn(&RunningHost) -> bool,
    ) -> Result<(), Error> {
        let deadline_ms = clock::now_ms() + SETTLE_TIMEOUT_MS;
        while !self.hosts.iter().all(&holds) {
            if clock::now_ms() > deadline_ms {
                let timeout_ms = SETTLE_TIMEOUT_MS;
                return Err(Error::Timeout { what, timeout_ms });
            }
            time::sleep(Duration::from_millis(POLL_MS)).await;
        }
        Ok(())
    }

    /// Returns the document of a workspace, optionally without one of its servers.
    fn workspace(&self, name: &str, without: Option<usize>) -> String {
        let template = if name == "etna" { "resort" } else { "drainage" };
        let mut text = format!("workspace: {name}\ntemplate: {template}\nparameters:\n");
        for placement in PLACEMENTS.iter().filter(|p| p.workspace == name) {
            text += &format!("  {}_targets:\n", placement.service);
            for server in placement.servers {
                if Some(*server) == without {
                    continue;
                }
                let zone = ZONES[server % ZONES.len()];
                let address = self.servers[*server].address;
                text += &format!("    - {{ address: '{address}', availability_zone: {zone} }}\n");
            }
        }
        text
    }

    async fn submit(&self, kind: DeclarationKind, document: String) -> Result<(), Error> {
        let client = OperatorClient::new(self.hosts[0].operators, Some("demo".to_owned()));
        let body = SubmitBody {
            document,
            operation_id: Some(crate::id::OperationId::random().0),
            expect_revision: None,
            actor: Some("demo".to_owned()),
            dry_run: false,
        };
        let deadline_ms = clock::now_ms() + SUBMIT_TIMEOUT_MS;
        loop {
            let submitted = client.submit(kind, &body).await;
            match submitted {
                Ok(_) => return Ok(()),
                Err(source) if clock::now_ms() > deadline_ms => {
                    return Err(source).context(CallSnafu);
                }
                Err(_) => time::sleep(Duration::from_millis(POLL_MS)).await,
            }
        }
    }

    /// Returns the keys owned by the server [`LOST_SERVER`], which will be lost. Of each service,
    /// only the keys with the numbers from 0 to `keys` are considered, both ends included.
    pub(crate) fn keys_of_lost_server(&self, keys: u64) -> Vec<LostKey> {
        let state = self.hosts[0].host.view.state();
        let lost = state.server_key(self.servers[LOST_SERVER].address);
        let mut found = Vec::new();
        for (index, path) in service_paths().iter().enumerate() {
            let service = state.service_key(path.trim_start_matches('/'));
            let Some(service) = service.and_then(|key| state.service(key)) else {
                continue;
            };
            for number in 0..=keys {
                let slot = key::slot(&format!("key-{number}"), service.spec.slots);
                let owner = service.slots[slot.0 as usize].owner;
                if owner.is_some() && owner == lost {
                    found.push(LostKey {
                        service: index,
                        key: number,
                    });
                }
            }
        }
        found
    }

    pub(crate) async fn freeze_server(&self) -> Result<(), Error> {
        self.set_frozen(true).await
    }

    pub(crate) async fn unfreeze_server(&self) -> Result<(), Error> {
        self.set_frozen(false).await
    }

    async fn set_frozen(&self, frozen: bool) -> Result<(), Error> {
        let faults = Faults {
            frozen,
            ..Faults::default()
        };
        let address = self.servers[LOST_SERVER].address;
        let client = JsonClient::new(SUBMIT_TIMEOUT_MS);
        let set: Result<Faults, _> = client.post(address, backend::FAULTS_PATH, &faults).await;
        set.context(CallSnafu)?;
        Ok(())
    }

    /// Submits a workspace again without one of its servers. The slots of the omitted server then
    /// move to the other servers.
    pub(crate) async fn withdraw_target(&self) -> Result<(), Error> {
        let document = self.workspace("mittelland", Some(LEAVING_SERVER));
        self.submit(DeclarationKind::Workspace, document).await
    }

    /// Carries out the planned stop of one host. Returns the address of the stopped host and the
    /// time at which its planned stop began.
    pub(crate) async fn stop_host(&mut self) -> Stopped {
        let host = self.hosts.remove(STOPPED_HOST);
        let address = host.callers;
        // From `at_us` on the host reports to the load balancer that it is not ready, and may
        // refuse requests that arrive.
        let at_us = clock::unix_us();
        host.stop().await;
        Stopped { address, at_us }
    }

    /// Returns the number of quorum members, i.e. of the hosts of which a majority must agree.
    pub(crate) fn quorum_size(&self) -> usize {
        let state = self.hosts[0].host.view.state();
        let quorum_members = state
            .registered_hosts()
            .filter(|(_, host)| host.is_quorum_member());
        quorum_members.count()
    }

    /// Returns the number of calls that the platform stand-in has received, by type of call.
    pub(crate) async fn platform_counters(&self) -> platform::Counters {
        let client = JsonClient::new(SUBMIT_TIMEOUT_MS);
        let counters = client.get(self.platform.address, platform::COUNTERS_PATH);
        counters.await.unwrap_or_default()
    }

    /// Returns the records of grants and runs that the servers keep. The records of servers that
    /// cannot be reached are left out.
    pub(crate) async fn records(&self) -> Vec<Record> {
        let client = JsonClient::new(SUBMIT_TIMEOUT_MS);
        let mut records = Vec::new();
        for server in &self.servers {
            let record = client.get(server.address, backend::RECORD_PATH).await;
            records.extend(record.ok());
        }
        records
    }

    pub(crate) async fn stop(self) {
        for host in self.hosts {
            host.kill().await;
        }
        for server in self.servers {
            server.stop().await;
        }
        self.platform.stop().await;
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn loopback_address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn settings(directory: &Path, name: &str, zone: &str, platform: SocketAddr) -> Settings {
    Settings {
        name: name.to_owned(),
        availability_zone: zone.to_owned(),
        callers: Callers {
            listen: loopback_address(),
            connections: 10_000,
            body_bytes: 1024 * 1024,
            drain_ms: 5_000,
            notice_ms: 300,
        },
        operators: Operators {
            listen: loopback_address(),
            token_file: Some(directory.join("token")),
        },
        peers: Peers {
            listen: loopback_address(),
            ca_file: directory.join(keys::CA_FILE),
            certificate_file: directory.join(format!("{name}.pem")),
            private_key_file: directory.join(format!("{name}-key.pem")),
        },
        platform: PlatformSettings {
            address: platform,
            timeout_ms: 500,
        },
        ownership: Ownership::default(),
        claims: ClaimSettings::default(),
        log: LogSettings::default(),
        metrics: MetricsSettings::default(),
    }
}
