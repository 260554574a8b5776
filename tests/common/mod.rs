//! Starts entry hosts and stand-ins as processes of the built binary, and sends requests to them.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use ashroad::{
    operator::{
        client::{DeclarationKind, OperatorClient},
        message::{Accepted, StatusBody, SubmitBody},
    },
    standin::{backend, platform},
    transport::JsonClient,
};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

pub const BINARY: &str = env!("CARGO_BIN_EXE_ashroad");
const TOKEN: &str = "test-token";
static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// A child process that is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the binary with its standard error in the file `log`, and parses the first line that
    /// the binary prints, which contains the addresses on which it listens.
    fn start<T: DeserializeOwned>(args: &[&str], log: &Path) -> (Self, T) {
        let log = fs::File::create(log).expect("log file");
        let mut child = Command::new(BINARY)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        let stdout = child.stdout.take().expect("piped");
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.expect("the binary prints its addresses");
        let listening = serde_json::from_str(&line);
        let listening = listening.unwrap_or_else(|e| panic!("{args:?} printed {line:?}: {e}"));
        (Self { child }, listening)
    }

    /// Sends the signal with this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits and returns its exit code; panics after `limit`. The wait does
    /// not block the other tasks of the test.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the process did not exit within {limit:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(serde::Deserialize)]
struct Listen {
    listen: SocketAddr,
}

#[derive(serde::Deserialize)]
struct HostListen {
    callers: SocketAddr,
    operators: SocketAddr,
}

/// A stand-in for the platform or a backend server, in a process of its own.
pub struct Standin {
    pub process: Process,
    pub address: SocketAddr,
}

/// An entry host in a process of its own.
pub struct HostProcess {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub name: String,
}

/// A platform, backend servers and entry hosts, each in a process of its own. When the cluster is
/// dropped, the processes are killed and their directory is deleted.
pub struct Cluster {
    pub directory: PathBuf,
    pub platform: Standin,
    pub servers: Vec<Standin>,
    pub hosts: Vec<HostProcess>,
}

/// Empty list of additional flags for the servers of a cluster.
pub const NO_FLAGS: &[&str] = &[];

impl Cluster {
    /// Starts a platform, servers and hosts, without templates or workspaces. `server_flags` are
    /// additional command line flags of each server.
    pub fn start(servers: usize, hosts: usize, server_flags: &[&str]) -> Self {
        ashroad::peer::keys::install_crypto_provider();
        let directory = new_directory();
        ashroad::peer::keys::create_ca(&directory).expect("authority");
        let platform = standin(&directory, "platform", &["platform"]);
        let mut cluster = Self {
            directory,
            platform,
            servers: Vec::new(),
            hosts: Vec::new(),
        };
        for _ in 0..servers {
            cluster.add_server(server_flags);
        }
        for _ in 0..hosts {
            cluster.add_host();
        }
        cluster
    }

    pub fn add_server(&mut self, flags: &[&str]) {
        let name = format!("server-{}", self.servers.len());
        let mut args = vec!["server"];
        args.extend(flags);
        let server = standin(&self.directory, &name, &args);
        self.servers.push(server);
    }

    pub fn add_host(&mut self) {
        let name = format!("host-{}", self.hosts.len());
        let host = self.host_process(&name);
        self.hosts.push(host);
    }

    /// Starts a host process with this name, and with settings and certificates of its own.
    pub fn host_process(&self, name: &str) -> HostProcess {
        ashroad::peer::keys::create_host(&self.directory, name).expect("certificate");
        let directory = self.directory.display();
        fs::write(self.directory.join("token"), TOKEN).expect("token");
        let settings = format!(
            "name: {name}\n\
             availability_zone: zone-a\n\
             callers: {{ listen: '127.0.0.1:0' }}\n\
             operators: {{ listen: '127.0.0.1:0', token_file: {directory}/token }}\n\
             peers:\n  listen: 127.0.0.1:0\n  ca_file: {directory}/ca.pem\n  \
             certificate_file: {directory}/{name}.pem\n  \
             private_key_file: {directory}/{name}-key.pem\n\
             platform: {{ address: '{}' }}\n",
            self.platform.address
        );
        let path = self.directory.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("settings");
        let path = path.display().to_string();
        let log = self.directory.join(format!("{name}.log"));
        let args = ["serve", "--settings", &path];
        let (process, listening): (_, HostListen) = Process::start(&args, &log);
        HostProcess {
            process,
            callers: listening.callers,
            operators: listening.operators,
            name: name.to_owned(),
        }
    }

    pub fn operator(&self, host: usize) -> OperatorClient {
        OperatorClient::new(self.hosts[host].operators, Some(TOKEN.to_owned()))
    }

    /// Submits a template `t` with one service `s` of 64 slots, and a workspace `w` with all
    /// servers, and waits until all slots are owned. `service_extra` contains additional lines of
    /// YAML for the service.
    pub async fn declare(&self, service_extra: &str) {
        let template = format!(
            "template: t\nparameters:\n  - {{ name: targets, type: targets, max: 100 }}\n\
             services:\n  - name: s\n    targets: targets\n    key: {{ path: 0 }}\n    \
             slots: 64\n    server_slots: 4\n    server_connections: 100\n{service_extra}"
        );
        self.submit(DeclarationKind::Template, &template).await;
        let all: Vec<usize> = (0..self.servers.len()).collect();
        self.submit(DeclarationKind::Workspace, &self.workspace(&all))
            .await;
        self.settled().await;
    }

    /// Returns the document of the workspace `w` with the servers that have these indices.
    pub fn workspace(&self, servers: &[usize]) -> String {
        let mut text = "workspace: w\ntemplate: t\nparameters:\n  targets:\n".to_owned();
        for index in servers {
            let address = self.servers[*index].address;
            text += &format!("    - {{ address: '{address}', availability_zone: zone-a }}\n");
        }
        text
    }

    pub async fn submit(&self, kind: DeclarationKind, document: &str) -> Accepted {
        let body = SubmitBody {
            document: document.to_owned(),
            operation_id: None,
            expect_revision: None,
            actor: Some("test".to_owned()),
            dry_run: false,
        };
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            match self.operator(0).submit(kind, &body).await {
                Ok(accepted) => return accepted,
                Err(error) if Instant::now() > end => {
                    panic!("the declaration was not accepted: {error}")
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    }

    pub async fn status(&self, host: usize) -> StatusBody {
        let status = self.operator(host).status().await;
        status.unwrap_or_else(|error| panic!("the status of host {host} cannot be read: {error}"))
    }

    /// Waits until every host reports that all slots have an owner and that all hosts are quorum
    /// members.
    pub async fn settled(&self) {
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.settled_on(&all).await;
    }

    pub async fn settled_on(&self, hosts: &[usize]) {
        self.wait_for("every slot is settled", hosts, |status| {
            let settled = status.services.iter().all(|s| s.settled == s.slots);
            let live = status.hosts.iter().all(|host| host.state == "live");
            settled && live && status.registry_settled && !status.services.is_empty()
        })
        .await;
    }

    /// Waits until each of these hosts reports that exactly `servers` servers own slots.
    pub async fn owned_by(&self, servers: usize, hosts: &[usize]) {
        let what = format!("{servers} servers own all slots");
        self.wait_for(&what, hosts, |status| {
            let owners = status.servers.iter().filter(|server| server.slots > 0);
            owners.count() == servers
        })
        .await;
    }

    /// Waits until a condition holds for the status of each of these hosts; panics after 20 s.
    pub async fn wait_for(&self, what: &str, hosts: &[usize], holds: impl Fn(&StatusBody) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        for host in hosts {
            loop {
                let status = self.operator(*host).status().await;
                if status.as_ref().is_ok_and(&holds) {
                    break;
                }
                if Instant::now() > end {
                    panic!("host {host} did not report within 20 s: {what}; status {status:#?}");
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    pub async fn platform_faults(&self, faults: platform::Faults) {
        let client = JsonClient::new(2_000);
        let address = self.platform.address;
        let _: platform::Faults = client
            .post(address, platform::FAULTS_PATH, &faults)
            .await
            .expect("faults are set");
    }

    pub async fn server_faults(&self, server: usize, faults: backend::Faults) {
        let client = JsonClient::new(2_000);
        let address = self.servers[server].address;
        let _: backend::Faults = client
            .post(address, backend::FAULTS_PATH, &faults)
            .await
            .expect("faults are set");
    }

    pub async fn record(&self, server: usize) -> backend::Record {
        let client = JsonClient::new(5_000);
        let address = self.servers[server].address;
        let record = client.get(address, backend::RECORD_PATH).await;
        record.expect("the record is read")
    }

    /// Reads the records of the stand-in servers that have these indices.
    pub async fn records(&self, servers: &[usize]) -> Vec<backend::Record> {
        let mut records = Vec::new();
        for server in servers {
            records.push(self.record(*server).await);
        }
        records
    }

    /// Returns the index of the server at an address.
    pub fn server_at(&self, address: &str) -> usize {
        let found = self
            .servers
            .iter()
            .position(|s| s.address.to_string() == address);
        found.expect("a known server")
    }

    /// Returns the index of the server that owns a key, as host 0 reports it.
    pub async fn owner(&self, key: &str) -> usize {
        let owner = self.operator(0).owner("w/s", key).await.expect("owner");
        self.server_at(&owner.owner.expect("owned"))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The directory with the logs is kept if the test has failed.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

fn new_directory() -> PathBuf {
    let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
    let name = format!("ashroad-test-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory).expect("directory");
    directory
}

fn standin(directory: &Path, name: &str, args: &[&str]) -> Standin {
    let mut all = vec!["standin"];
    all.extend(args);
    let log = directory.join(format!("{name}.log"));
    let (process, listening): (_, Listen) = Process::start(&all, &log);
    Standin {
        process,
        address: listening.listen,
    }
}

/// Runs the binary until it exits, and returns its output.
pub fn run(args: &[&str]) -> Output {
    Command::new(BINARY)
        .args(args)
        .output()
        .expect("the binary runs")
}

/// HTTP client that sends requests to hosts.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Complete response of a host, with the headers that the tests check.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub outcome: Option<String>,
    pub reason: Option<String>,
    pub retry_after: Option<String>,
    pub body: Bytes,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl Caller {
    pub async fn get(&self, host: SocketAddr, path: &str) -> Result<CallerResponse, String> {
        self.send(Method::GET, host, path, &[], Bytes::new()).await
    }

    pub async fn post(
        &self,
        host: SocketAddr,
        path: &str,
        idempotency_key: &str,
    ) -> Result<CallerResponse, String> {
        let headers = [("idempotency-key", idempotency_key)];
        let body = Bytes::from_static(b"order");
        self.send(Method::POST, host, path, &headers, body).await
    }

    pub async fn send(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<CallerResponse, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).expect("a request");
        let answer = self.client.request(request).await;
        read_response(answer.map_err(|error| error.to_string())?).await
    }
}

async fn read_response(answer: Response<hyper::body::Incoming>) -> Result<CallerResponse, String> {
    let header = |name: &str| {
        let value = answer.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (status, outcome) = (answer.status().as_u16(), header("ashroad-outcome"));
    let (reason, retry_after) = (header("ashroad-reason"), header("retry-after"));
    let body = answer.into_body().collect().await;
    Ok(CallerResponse {
        status,
        outcome,
        reason,
        retry_after,
        body: body.map_err(|error| error.to_string())?.to_bytes(),
    })
}

impl CallerResponse {
    /// Parses the body as the response of the stand-in server.
    pub fn answer(&self) -> backend::EchoResponse {
        let read = serde_json::from_slice(&self.body);
        read.unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}
