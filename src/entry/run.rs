//! Runs an entry host: reads the settings, starts its tasks, and carries out the planned stop.

use std::{net::SocketAddr, path::Path, sync::Arc, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpSocket, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::watch as stop,
    time,
};

use super::{
    Entry, Settings, events::Event, forward::caller_handler::caller_handler, log_writer, watch,
};
use crate::{
    clock,
    transport::{self, ListenerLimits, ResponseBody},
};

/// Length of the accept queue of each listener, in connections. A full queue drops connection
/// attempts, which delays the affected callers by seconds.
const BACKLOG: u32 = 4_096;
/// Time after SIGTERM in which new connections are still accepted. The load balancer probes
/// readiness every second and removes a host after two failed probes.
const READINESS_NOTICE_MS: u64 = 2_300;
/// Interval at which a stopping host looks whether its last work has ended.
const STOP_LOOK_EVERY_MS: u64 = 20;
/// Time before the end of the stop grace period at which a stopping host aborts the remaining
/// responses, so that the process exits before the platform sends SIGKILL. Unanswered requests get
/// a response shortly before (`forward::stop_response`).
const GRACE_MARGIN_MS: u64 = 250;
/// Timeout for receiving the head of a request, which is also the idle timeout of a caller's
/// connection. It is longer than the callers' own idle timeout, so that callers close idle
/// connections first.
const HEAD_TIMEOUT_MS: u64 = 16_000;
/// Maximum number of requests that wait for their turn on a caller's connection, started or not. It bounds the share of
/// a host that one connection takes.
const PIPELINED_REQUESTS: usize = 8;
/// Maximum number of bytes that are read ahead on a caller's connection. Reading ahead stops when
/// less than one read of 4 KB is left of them; a head that does not fit is read in its turn.
const PIPELINED_BYTES: usize = 64 * 1024;
/// Content type of the metrics' text exposition format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Interval at which closed and expired idle connections to servers are removed from the pools.
const SWEEP_EVERY_MS: u64 = 1_000;

/// Reason why a host cannot run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings file is missing or invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// Error of reading, parsing or checking the file; its text names the file.
        source: crate::settings::Error,
    },
    /// A listening socket cannot be opened, for example because its address is in use.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address of the listener, from the settings.
        address: SocketAddr,
        /// Error that the operating system returned for opening the socket.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot install a signal handler: {source}"))]
    Signal {
        /// Error that the operating system returned for installing the handler.
        source: std::io::Error,
    },
}

/// Runs an entry host until SIGTERM or SIGINT; SIGHUP reloads the settings.
pub async fn run(path: &Path) -> Result<(), Error> {
    let settings = Settings::read(path).context(SettingsSnafu)?;
    log_writer::start(settings.log_level);
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    let listen = settings.listen;
    let callers = listener(listen.callers)?;
    let readiness = listener(listen.readiness)?;
    let metrics = listener(listen.metrics)?;
    let address = listen.peers;
    let peers = UdpSocket::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let starting_hosts = listener(address)?;
    let entry = Arc::new(Entry::new(settings));
    Event::Started {
        host: entry.settings.name.clone(),
        availability_zone: entry.settings.availability_zone.clone(),
        incarnation: entry.incarnation,
    }
    .log();
    spawn_tasks(&entry, peers);
    let (stop_readiness, readiness_stopped) = stop::channel(false);
    tokio::spawn(serve_metrics(
        entry.clone(),
        metrics,
        readiness_stopped.clone(),
    ));
    tokio::spawn(
        entry
            .clone()
            .serve_snapshots(starting_hosts, readiness_stopped.clone()),
    );
    tokio::spawn(serve_readiness(entry.clone(), readiness, readiness_stopped));
    let (stop_callers, stopped) = stop::channel(false);
    let callers_done = tokio::spawn(serve_callers(entry.clone(), callers, stopped));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path),
        }
    }
    stop(&entry, &stop_callers, callers_done).await;
    if stop_readiness.send(true).is_err() {
        log::debug!("the readiness listener has already stopped");
    }
    log_writer::flush();
    // Leaves the writer thread of the log time to write the last lines, because nothing else waits
    // for that thread before the process exits.
    time::sleep(Duration::from_millis(20)).await;
    Ok(())
}

fn spawn_tasks(entry: &Arc<Entry>, peers: UdpSocket) {
    tokio::spawn(entry.clone().join());
    tokio::spawn(entry.clone().maintain_seed_hosts());
    tokio::spawn(entry.clone().keep_registering_joining_hosts());
    tokio::spawn(entry.clone().keep_querying_hosts());
    tokio::spawn(entry.clone().watch_configuration());
    tokio::spawn(entry.clone().watch_servers());
    tokio::spawn(entry.clone().keep_configuration_confirmed());
    tokio::spawn(entry.clone().keep_querying_relays());
    tokio::spawn(entry.clone().watch_own());
    tokio::spawn(entry.clone().register());
    tokio::spawn(entry.clone().drop_overdue_servers());
    tokio::spawn(entry.clone().keep_listening(peers));
    tokio::spawn(entry.clone().keep_reporting());
    tokio::spawn(entry.clone().keep_applying_reports());
    tokio::spawn(entry.clone().keep_sending_zone_loads());
    tokio::spawn(entry.clone().keep_reporting_keys());
    tokio::spawn(entry.clone().keep_announcing());
    tokio::spawn(entry.clone().keep_sending_heartbeats());
    tokio::spawn(entry.clone().maintain_leadership());
    tokio::spawn(entry.clone().maintain_secret());
    tokio::spawn(entry.clone().manage_leases());
    tokio::spawn(entry.clone().report_crashes());
    tokio::spawn(entry.clone().keep_quarantine_stored());
    tokio::spawn(entry.clone().keep_reporting_notices());
    tokio::spawn(entry.clone().exchange_rate_limits());
    tokio::spawn(entry.clone().exchange_quota_usage());
    tokio::spawn(entry.clone().keep_logging_contention());
    tokio::spawn(entry.clone().keep_watching_paths());
    tokio::spawn(entry.clone().keep_measuring_timers());
    tokio::spawn(sweep_connections(entry.clone()));
    tokio::spawn(async {
        loop {
            time::sleep(Duration::from_millis(log_writer::FLUSH_MS)).await;
            log_writer::flush();
        }
    });
}

fn listener(address: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().context(ListenSnafu { address })
}

async fn serve_callers(entry: Arc<Entry>, listener: TcpListener, stopped: stop::Receiver<bool>) {
    let limits = ListenerLimits {
        head_timeout_ms: HEAD_TIMEOUT_MS,
        head_bytes: 64 * 1024,
        drain_ms: entry.settings.bounds.stop_grace_ms,
        pipelined_requests: PIPELINED_REQUESTS,
        pipelined_bytes: PIPELINED_BYTES,
        ..ListenerLimits::default()
    };
    transport::serve_pipelined(listener, limits, stopped, caller_handler(entry)).await;
}

async fn serve_readiness(entry: Arc<Entry>, listener: TcpListener, stop: stop::Receiver<bool>) {
    let handler = move |_: Request<Incoming>| {
        let ready = entry.ready();
        async move { readiness(ready) }
    };
    transport::serve(listener, ListenerLimits::default(), stop, handler).await;
}

async fn serve_metrics(entry: Arc<Entry>, listener: TcpListener, stop: stop::Receiver<bool>) {
    let handler = move |_: Request<Incoming>| {
        let text = metrics_text(&entry);
        async move { transport::buffered(StatusCode::OK, METRICS_CONTENT_TYPE, text.into()) }
    };
    transport::serve(listener, ListenerLimits::default(), stop, handler).await;
}

fn metrics_text(entry: &Entry) -> String {
    let metrics = &entry.metrics;
    let in_flight = entry.in_flight.load(Ordering::Relaxed);
    metrics.in_flight.set(in_flight as i64);
    let age_s = watch::store_age_ms(entry) as f64 / 1000.0;
    metrics.store_age_s.set(age_s);
    let contact_age_ms = entry.server_contact.age_ms().unwrap_or(0);
    metrics
        .server_contact_age_s
        .set(contact_age_ms as f64 / 1000.0);
    metrics.leadership_term.set(entry.leadership.term() as i64);
    let version = entry.view.configuration().map_or(0, |c| c.version);
    metrics.configuration_version.set(version as i64);
    let zones = entry.view.evacuations().zones.len();
    metrics.evacuated_zones.set(zones as i64);
    let quarantined = entry.crashes.quarantined();
    metrics.quarantined_requests.set(quarantined as i64);
    let registry = entry.view.registry();
    let cold = registry
        .servers()
        .filter(|server| server.cold_remaining_ms() > 0);
    metrics.cold_servers.set(cold.count() as i64);
    metrics
        .unreachable_servers
        .set(entry.unreachable_servers() as i64);
    metrics
        .carried_tunnels
        .set(entry.paths.carried_tunnels() as i64);
    metrics.services_short.set(entry.services_short() as i64);
    let dropped = log_writer::dropped_in_total();
    metrics.log_lines_dropped.set(dropped as i64);
    let dropped = entry.peers.datagrams.dropped();
    metrics.datagrams_dropped.set(dropped as i64);
    for (key, counts) in entry.contention.counts() {
        metrics.contention(&key, counts);
    }
    for (kind, table, calls) in entry.store.calls() {
        metrics.store_calls(kind.name(), table, calls);
    }
    metrics.text()
}

fn readiness(ready: bool) -> Response<ResponseBody> {
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    transport::buffered(status, "text/plain", Bytes::new())
}

async fn sweep_connections(entry: Arc<Entry>) {
    loop {
        time::sleep(Duration::from_millis(SWEEP_EVERY_MS)).await;
        entry.view.registry().sweep_engaged();
    }
}

/// Reads the settings again. Only the log level takes effect while the process runs.
fn reload(path: &Path) {
    let problem = match Settings::read(path) {
        Ok(settings) => {
            log::set_max_level(settings.log_level);
            None
        }
        Err(error) => Some(error.to_string()),
    };
    Event::Reloaded { problem }.log();
}

/// Carries out a planned stop. The host first answers readiness probes with a failure and gives up
/// the leadership. It closes the callers' listener after the load balancer has had time to notice
/// the failed probes. The function returns when no request is in flight, including unrepeatable
/// requests whose callers have disconnected, and no tunnel of another host is open, or shortly before
/// the stop grace period ends.
async fn stop(
    entry: &Arc<Entry>,
    stop_callers: &stop::Sender<bool>,
    callers_done: tokio::task::JoinHandle<()>,
) {
    let grace_ms = entry.settings.bounds.stop_grace_ms;
    let stop_deadline_ms = clock::now_ms() + grace_ms - GRACE_MARGIN_MS;
    entry.stop_deadline.send_replace(stop_deadline_ms);
    entry.stopping.store(true, Ordering::Relaxed);
    let in_flight = entry.in_flight.load(Ordering::Relaxed);
    Event::Stopping { in_flight }.log();
    let notice_ms = READINESS_NOTICE_MS.min(grace_ms / 2);
    let giving_up = entry.give_up_leadership("planned stop");
    let notice = time::sleep(Duration::from_millis(notice_ms));
    tokio::join!(giving_up, notice);
    if stop_callers.send(true).is_err() {
        log::debug!("the callers' listener has already stopped");
    }
    // Giving up the leadership may have taken longer than the notice.
    let left_ms = stop_deadline_ms.saturating_sub(clock::now_ms());
    let drained = time::timeout(Duration::from_millis(left_ms), callers_done).await;
    let in_flight = entry.in_flight.load(Ordering::Relaxed);
    if drained.is_err() {
        log::warn!("{in_flight} requests were aborted at the end of the stop grace period");
    }
    let left_ms = stop_deadline_ms.saturating_sub(clock::now_ms());
    let ended = time::timeout(
        Duration::from_millis(left_ms),
        work_without_callers_ended(entry),
    );
    if ended.await.is_err() {
        let requests = entry.unrepeatable.load(Ordering::Relaxed);
        let tunnels = entry.paths.carried_tunnels();
        log::warn!(
            "{requests} requests without callers and {tunnels} tunnels were aborted at the end of the \
             stop grace period"
        );
    }
    Event::Stopped { in_flight }.log();
}

/// Waits until no unrepeatable request is forwarded and this host carries no tunnels. A host that
/// stops gets no further ones once its callers are served.
async fn work_without_callers_ended(entry: &Entry) {
    let has_work =
        || entry.unrepeatable.load(Ordering::Relaxed) > 0 || entry.paths.carried_tunnels() > 0;
    while has_work() {
        time::sleep(Duration::from_millis(STOP_LOOK_EVERY_MS)).await;
    }
}
