//! Queries of the kernel's socket diagnosis (netlink `SOCK_DIAG`). A query for one socket takes some
//! microseconds; reading `/proc/net/tcp` takes milliseconds while the table has thousands of rows.

use std::{
    net::SocketAddrV4,
    os::fd::{AsRawFd, OwnedFd},
};

use nix::sys::socket::{
    AddressFamily, MsgFlags, SockFlag, SockProtocol, SockType, recv, send, socket,
};

/// Type of the messages of a query by address family.
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// Length of the header of a netlink message.
const HEADER_BYTES: usize = 16;
/// Length of a query: the header, the family and states, and the addresses of the socket.
const QUERY_BYTES: usize = HEADER_BYTES + 8 + 48;
/// Offset of the inode in the answer to a query.
const INODE_OFFSET: usize = HEADER_BYTES + 4 + 48 + 16;
/// Value of the cookie of a socket that stands for any cookie.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// Returns the inode of the TCP socket with this local and remote address; `None` if the kernel
/// knows no such socket or a query failed.
pub fn inode_of(local: SocketAddrV4, remote: SocketAddrV4) -> Option<u32> {
    let netlink = open()?;
    send(
        netlink.as_raw_fd(),
        &query(local, remote),
        MsgFlags::empty(),
    )
    .ok()?;
    let mut answer = [0; 1_024];
    let length = recv(netlink.as_raw_fd(), &mut answer, MsgFlags::empty()).ok()?;
    let answer = answer.get(..length)?;
    let message_type = u16::from_ne_bytes(answer.get(4..6)?.try_into().ok()?);
    let inode = answer.get(INODE_OFFSET..INODE_OFFSET + 4)?;
    let inode = u32::from_ne_bytes(inode.try_into().ok()?);
    (message_type == SOCK_DIAG_BY_FAMILY && inode != 0).then_some(inode)
}

fn open() -> Option<OwnedFd> {
    let opened = socket(
        AddressFamily::Netlink,
        SockType::Datagram,
        SockFlag::SOCK_CLOEXEC,
        SockProtocol::NetlinkSockDiag,
    );
    opened.ok()
}

fn query(local: SocketAddrV4, remote: SocketAddrV4) -> Vec<u8> {
    let mut query = Vec::with_capacity(QUERY_BYTES);
    query.extend((QUERY_BYTES as u32).to_ne_bytes());
    query.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    query.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number, and the port of the sender, which the kernel fills in.
    query.extend([0; 8]);
    query.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // Sockets in all states.
    query.extend(u32::MAX.to_ne_bytes());
    query.extend(local.port().to_be_bytes());
    query.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        query.extend(address.ip().octets());
        // The rest of the field for an IPv6 address.
        query.extend([0; 12]);
    }
    // Any interface.
    query.extend([0; 4]);
    query.extend(ANY_COOKIE);
    query
}
