//! Messages between hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::entry::{
    decide::{
        hot_keys::HotKey,
        path_tally::SharedSuspect,
        quota::{Admitted, Use},
        rate_parts::AskedRates,
        trials::Claimed,
    },
    digest::RequestDigest,
    keys::Holding,
    updates::{
        announcement::MoveAnnouncement, configuration_pieces::Piece, evacuation::Evacuations,
        freshness::StoreStateReport, server_changes::ServerChanges,
    },
};

/// Most servers and keys in one datagram; it stays under the usual packet size.
pub const ENTRIES_MAX: usize = 120;
/// Most paces of servers in one datagram beside as many loads as there may be, of at most 11 bytes each.
pub const PACES_MAX: usize = 80;
/// Most rates of servers in one datagram, of at most 36 bytes each.
pub const RATES_MAX: usize = 45;
/// Most workspaces in one datagram, of at most 15 bytes each.
pub const QUOTAS_MAX: usize = 80;
/// Most suspects without their callers in one datagram, of at most 17 bytes each.
pub const SHARED_SUSPECTS_MAX: usize = 80;
/// Largest datagram.
pub const DATAGRAM_BYTES_MAX: usize = 2_048;
/// Version of the messages.
pub const VERSION: u8 = 17;

/// One host's requests at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Server.
    pub server_tag: u32,
    /// Requests of the host that are there.
    pub in_flight: u8,
}

/// What the hosts of a zone know of a server together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSummary {
    /// Server.
    pub server_tag: u32,
    /// Their requests that are there.
    pub in_flight: u16,
    /// Its average run time by their evidence; 0 if they have none.
    pub run_ms: u16,
}

/// Average run time of one server by one host's evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTime {
    /// Server.
    pub server_tag: u32,
    /// Average run time.
    pub run_ms: u16,
}

/// What a server told a host of its pace since that host's last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPace {
    /// Server.
    pub server_tag: u32,
    /// Time that work takes there, in hundredths of what is usual.
    pub percent: u16,
    /// Time since it told that.
    pub age_ms: u16,
}

/// Rest that a server asked a host for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRest {
    /// Short name of the server.
    pub server_tag: u32,
    /// Time that is left of it.
    pub rest_ms: u32,
}

/// Word of a server of the rate that it takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldRate {
    /// Requests a second; `None` if it takes any rate again.
    pub limit_per_s: Option<f64>,
    /// Time since it said so.
    pub age_ms: u32,
}

/// What is known of the rate that a server takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRate {
    /// Short name of the server.
    pub server_tag: u32,
    /// Its latest word, if the sender knows one.
    pub told: Option<ToldRate>,
    /// What callers ask of it.
    pub asked: AskedRates,
}

/// What a host was asked for on behalf of a workspace, and what it sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// Short name of the workspace.
    pub workspace_tag: u32,
    /// Requests since the last report.
    pub used: Use,
}

/// What each host may admit of a workspace's requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAdmitted {
    /// Short name of the workspace.
    pub workspace_tag: u32,
    /// Share of its requests.
    pub admitted: Admitted,
}

/// Requests for one key since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// Service.
    pub service_tag: u32,
    /// Key.
    pub key: u16,
    /// Requests.
    pub requests: u16,
}

/// What a host tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Short name of its availability zone.
    pub zone_tag: u32,
    /// Share of a processor that it has.
    pub processor_share: f32,
}

/// Messages between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// For the receiver and the other hosts of its zone, to which it forwards it.
    Relay(Box<Message>),
    /// Forwarded by a relay.
    Relayed {
        /// Host that it is from.
        origin: SocketAddr,
        /// What that host sent.
        message: Box<Message>,
    },
    /// The sender relays what it is sent.
    RelayAck,
    /// The sender has the duty.
    Holder {
        /// Number of its term.
        term: u64,
        /// When this was sent, by its clock.
        sent_ms: u64,
        /// What it knows of the store.
        updates: StoreStateReport,
        /// Number of hosts, the sender included.
        hosts: u32,
        /// Keys that get too many requests.
        hot: Vec<HotKey>,
        /// Zones that are evacuated.
        evacuations: Evacuations,
        /// Latest requests that no server gets.
        quarantined: Vec<RequestDigest>,
    },
    /// What the sender knows of servers.
    Report {
        /// What it is, for hosts that have not read its row yet.
        sender: Sender,
        /// Its requests there.
        servers: Vec<ServerLoad>,
        /// What they told of their pace.
        paces: Vec<ServerPace>,
    },
    /// Average run times of servers by the sender's evidence.
    RunTimes(Vec<RunTime>),
    /// What the hosts of a zone know of servers together.
    ZoneLoads {
        /// Short name of the zone.
        zone_tag: u32,
        /// Servers.
        summaries: Vec<ServerSummary>,
    },
    /// Requests by key, for the holder of the duty.
    Keys(Vec<KeyCount>),
    /// Keys are on their way to other servers.
    Moving {
        /// Service.
        service_tag: u32,
        /// Keys.
        announcements: Vec<MoveAnnouncement>,
    },
    /// Changes of servers' entries that the sender, which has the duty, was told by the store.
    Servers(ServerChanges),
    /// Piece of a configuration that the sender, which has the duty, was told by the store.
    Configuration(Piece),
    /// Asks the holder of the duty who holds a key.
    WhoHolds {
        /// Service.
        service_tag: u32,
        /// Key.
        key: u16,
    },
    /// The sender had the duty in this term and gives no more leases.
    Stopped {
        /// Number of the term.
        term: u64,
    },
    /// A server has ended, as the sender saw, with requests of the sender in flight.
    ServerEnded {
        /// Short name of the server.
        server_tag: u32,
        /// The requests, by caller.
        digests: Vec<RequestDigest>,
        /// The same without their callers.
        shared: Vec<SharedSuspect>,
    },
    /// A server has run a request to a good end under which one had ended.
    Cleared {
        /// Request.
        digest: RequestDigest,
        /// Time since it was sent.
        sent_ago_ms: u32,
    },
    /// The sender is about to try a request under which a server has ended.
    Trying(Claimed),
    /// Its server lives.
    Tried(Claimed),
    /// Servers that want no requests of the sender for a time. For the holder of the duty.
    Resting(Vec<ServerRest>),
    /// Rates of servers, with what the sender's callers ask of them. For the holder of the duty.
    Asked(Vec<ServerRate>),
    /// Rates of servers as the holder of the duty knows them, with what the callers of all hosts ask of them.
    Rates(Vec<ServerRate>),
    /// Short names of servers that have told the sender that they leave, while their entries do not say so. For
    /// the holder of the duty.
    SaidLeaving(Vec<u32>),
    /// The same from the holder of the duty, which heard it of any host.
    Leaving(Vec<u32>),
    /// What workspaces have used at the sender. For the holder of the duty.
    Used(Vec<WorkspaceUse>),
    /// What hosts may admit of workspaces' requests, from the holder of the duty.
    Admitted(Vec<WorkspaceAdmitted>),
    /// Asks a relay how fresh its view of the store is.
    AskWord {
        /// Returned in the answer.
        nonce: u64,
        /// What the sender is, for relays that have not read its row yet.
        sender: Sender,
    },
    /// The sender's view of the store.
    Word {
        /// Of the question.
        nonce: u64,
        /// What it knows of the store.
        updates: StoreStateReport,
        /// Zones that are evacuated.
        evacuations: Evacuations,
    },
    /// Asks how recent the receiver's configuration is.
    AskProof {
        /// Returned in the answer.
        nonce: u64,
    },
    /// The sender's configuration was the latest one some time ago.
    Proof {
        /// Of the question.
        nonce: u64,
        /// Time since then.
        age_ms: u32,
        /// Version of the latest change of the operators' table that the sender knows.
        changed: u64,
    },
    /// Servers have got keys.
    Held {
        /// Service.
        service_tag: u32,
        /// Keys and servers.
        holdings: Vec<Holding>,
    },
}
