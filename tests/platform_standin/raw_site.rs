//! A deployment whose service without keys has one server that writes the bytes of its responses
//! itself.

use std::time::Duration;

use tokio::{net::TcpStream, time};

use super::{
    caller::{TestRequest, send_once},
    hosts::Host,
    raw_server::{RawRequest, start_raw_server},
    server::{Server, ServerKind},
    server_proxy::{Cut, Cuts, start_server_proxy},
    site::{ORDERS, Site, configuration_with_timeout, eventually},
};

/// Service whose server takes as many requests as a test sends.
const RAW: ServerKind<'static> = ServerKind {
    slots: 200,
    ..ORDERS
};
/// Path on which the server responds regularly, without a length or with one.
pub const SOUND_PATH: &str = "/orders/close/1000";
/// Time in which hosts learn from each other which of them carry tunnels.
pub const PROXIES_KNOWN_AFTER: Duration = Duration::from_secs(1);
/// Time in which a host must serve the server, or must find its path to it lost.
const READY_MS: u64 = 8_000;

/// Starts hosts, with additional lines in the `bounds` section of their settings, in front of a server
/// whose requests `respond` answers, and waits until all hosts serve it. All routes have this timeout.
pub async fn start_raw_site<F>(
    hosts: usize,
    timeout_ms: u64,
    more_bounds: &str,
    respond: impl Fn(RawRequest, TcpStream) -> F + Send + Sync + 'static,
) -> (Site, Cuts)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut site = Site::start_servers(1).await;
    site.orders[0].remove_entry(&site.store);
    site.orders[0] = Server::start(&site.store, &site.record, RAW).await;
    let cuts = Cuts::default();
    let server = start_raw_server(respond).await;
    let proxy = start_server_proxy(server, cuts.clone()).await;
    site.orders[0].put_behind_listener(&site.store, proxy);
    let settings = configuration_with_timeout(&["/reads/"], timeout_ms);
    site.store.put("op", "config", &settings);
    for _ in 0..hosts {
        let host = Host::start_with(site.store.address, more_bounds);
        cuts.add_host(host.pid());
        site.hosts.push(host);
    }
    site.await_ready().await;
    for host in &site.hosts {
        eventually("a host serves the server", READY_MS, async || {
            is_served(host, timeout_ms).await
        })
        .await;
    }
    time::sleep(PROXIES_KNOWN_AFTER).await;
    (site, cuts)
}

/// Partitions the first host from the server, and waits until its requests take tunnels.
pub async fn take_tunnels(site: &Site, cuts: &Cuts) {
    let host = &site.hosts[0];
    cuts.begin(host.pid(), Cut::NewReset);
    eventually("requests take tunnels", READY_MS, async || {
        is_served(host, READY_MS).await && !host.events("path_lost").is_empty()
    })
    .await;
}

/// Returns true if a host gets a response from the server.
pub async fn is_served(host: &Host, deadline_ms: u64) -> bool {
    let id = format!("{:016x}", rand::random::<u64>());
    let ask = TestRequest {
        method: "POST",
        path: SOUND_PATH,
        id: &id,
        key: None,
        deadline_ms,
    };
    let response = send_once(host.callers, ask).await;
    response.is_some_and(|response| response.status.is_success())
}
