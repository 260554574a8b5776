//! Stand-ins of the users' platform for tests: its store and its backend servers, and entry hosts
//! in processes of their own. All of them listen on loopback addresses that are derived from the
//! process id of the test, so that concurrent tests do not use the same address.

#![allow(dead_code, reason = "each test binary uses a part of this")]

pub mod caller;
pub mod deployment;
pub mod faulty_listener;
pub mod hosts;
pub mod process_delays;
pub mod proxy;
pub mod raw_server;
pub mod raw_site;
pub mod record;
pub mod server;
pub mod server_proxy;
pub mod site;
pub mod socket_diagnosis;
pub mod store;
pub mod traffic;
pub mod unresponsive;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};

static NEXT_ADDRESS: AtomicU16 = AtomicU16::new(1);

/// Returns a loopback address that was not returned before in this process and that concurrent test
/// processes are unlikely to use.
pub fn next_ip() -> IpAddr {
    let pid = std::process::id();
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    // Maps the process id and a counter to 127.1.0.0 to 127.255.255.255.
    let second = 1 + (pid % 250) as u8;
    let third = (pid / 250 % 64) as u8 * 4 + (number / 250) as u8;
    let fourth = 1 + (number % 250) as u8;
    IpAddr::V4(Ipv4Addr::new(127, second, third, fourth))
}

/// Returns a socket address with a loopback address from [`next_ip`] and the given port.
pub fn next_address(port: u16) -> SocketAddr {
    SocketAddr::new(next_ip(), port)
}
