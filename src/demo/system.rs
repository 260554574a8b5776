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

const SERVERS: usize = 12;
const ZONES: [&str; 3] = ["bern-ost", "solothurn", "aarau"];
/// Time limit for all slots to get an owner.
const SETTLE_LIMIT_MS: u64 = 15_000;
/// Time limit for a submission with its retries, and for each call to a stand-in.
const SUBMIT_LIMIT_MS: u64 = 10_000;
const POLL_MS: u64 = 50;
const LOST_SERVER: usize = 0;
const LEAVING_SERVER: usize = 1;
const STOPPED_HOST: usize = 2;

const DRAINAGE_TEMPLATE: &str = include_str!("../../examples/mittelland/template.yaml");
const RESORT_TEMPLATE: &str = include_str!("../../examples/etna/template.yaml");

/// Service of the demonstration, with the indices of its servers.
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

/// Returns the paths of the services whose key is in the path.
pub(crate) fn service_paths() -> Vec<String> {
    let by_path = PLACEMENTS.iter().filter(|p| p.service != "beitrag");
    by_path
        .map(|p| format!("/{}/{}", p.workspace, p.service))
        .collect()
}

/// Platform stand-in, servers and hosts of the demonstration, all running.
pub(crate) struct System {
    platform: Running,
    servers: Vec<Running>,
    hosts: Vec<RunningHost>,
    directory: PathBuf,
}

impl System {
    /// Starts the platform, the servers and `hosts` hosts.
    pub(crate) async fn start(hosts: usize) -> Result<Self, Error> {
        let name = format!("ashroad-demo-{}-{hosts}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).context(DirectorySnafu)?;
        keys::create_ca(&directory).context(KeysSnafu)?;
        std::fs::write(directory.join("token"), "demo").context(DirectorySnafu)?;
        let platform = platform::start(local()).await.context(StandinSnafu)?;
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let config = backend::Config {
                listen: local(),
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

    /// Submits templates and workspaces, and waits until every slot has an owner in every host's
    /// state.
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
        let deadline_ms = clock::now_ms() + SETTLE_LIMIT_MS;
        while !self.hosts.iter().all(&holds) {
            if clock::now_ms() > deadline_ms {
                let limit_ms = SETTLE_LIMIT_MS;
                return Err(Error::Timeout { what, limit_ms });
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
        let deadline_ms = clock::now_ms() + SUBMIT_LIMIT_MS;
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

    /// Returns the keys of the load that are owned by the server that will be lost.
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

    pub(crate) async fn thaw_server(&self) -> Result<(), Error> {
        self.set_frozen(false).await
    }

    async fn set_frozen(&self, frozen: bool) -> Result<(), Error> {
        let faults = Faults {
            frozen,
            ..Faults::default()
        };
        let address = self.servers[LOST_SERVER].address;
        let client = JsonClient::new(SUBMIT_LIMIT_MS);
        let set: Result<Faults, _> = client.post(address, backend::FAULTS_PATH, &faults).await;
        set.context(CallSnafu)?;
        Ok(())
    }

    /// Submits a workspace again without one of its servers, whose slots then move to others.
    pub(crate) async fn withdraw_target(&self) -> Result<(), Error> {
        let document = self.workspace("mittelland", Some(LEAVING_SERVER));
        self.submit(DeclarationKind::Workspace, document).await
    }

    /// Makes one host carry out a planned stop; returns the host and the time at which the stop
    /// began.
    pub(crate) async fn stop_host(&mut self) -> Stopped {
        let host = self.hosts.remove(STOPPED_HOST);
        let address = host.callers;
        // From here on the host reports to the load balancer that it is not ready, and it may
        // refuse a request that arrives later.
        let at_us = clock::unix_us();
        host.stop().await;
        Stopped { address, at_us }
    }

    /// Returns the number of hosts that are quorum members, that is, that count in majorities.
    pub(crate) fn quorum_size(&self) -> usize {
        let state = self.hosts[0].host.view.state();
        let quorum_members = state
            .registered_hosts()
            .filter(|(_, host)| host.is_quorum_member());
        quorum_members.count()
    }

    /// Returns the number of calls by type that the platform has received.
    pub(crate) async fn platform_counters(&self) -> platform::Counters {
        let client = JsonClient::new(SUBMIT_LIMIT_MS);
        let counters = client.get(self.platform.address, platform::COUNTERS_PATH);
        counters.await.unwrap_or_default()
    }

    /// Returns the records of all servers that can be reached.
    pub(crate) async fn records(&self) -> Vec<Record> {
        let client = JsonClient::new(SUBMIT_LIMIT_MS);
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

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn settings(directory: &Path, name: &str, zone: &str, platform: SocketAddr) -> Settings {
    Settings {
        name: name.to_owned(),
        availability_zone: zone.to_owned(),
        callers: Callers {
            listen: local(),
            connections: 10_000,
            body_bytes: 1024 * 1024,
            drain_ms: 5_000,
            notice_ms: 300,
        },
        operators: Operators {
            listen: local(),
            token_file: Some(directory.join("token")),
        },
        peers: Peers {
            listen: local(),
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
