//! Datagram messages between hosts, encoded with postcard. The encoding is positional: a change of
//! the order, number or types of fields or variants needs a new [`VERSION`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::entry::{
    decide::{
        hot_keys::HotKey,
        path_tally::SharedSuspect,
        quota::{AdmittedShare, QuotaUsage},
        rate_shares::DemandRates,
        trials::ClaimSubject,
    },
    digest::RequestDigest,
    keys::AssignedRange,
    updates::{
        announcement::MoveAnnouncement, changes_pieces::ChangesPiece, configuration_pieces::Piece,
        evacuation::Evacuations, report::StoreStateReport,
    },
};

/// Maximum number of servers or keys in one datagram, which keeps the datagram below the usual
/// packet size.
pub const ENTRIES_MAX: usize = 120;
/// Maximum number of server slowdowns, of up to 11 bytes each, in one datagram. The same datagram
/// contains up to [`ENTRIES_MAX`] loads as well.
pub const SLOWDOWNS_MAX: usize = 80;
/// Maximum number of server rates in one datagram, of up to 36 bytes each.
pub const RATES_MAX: usize = 45;
/// Maximum number of workspaces in one datagram, of up to 15 bytes each.
pub const QUOTAS_MAX: usize = 80;
/// Maximum number of caller-independent suspects (requests in flight when a server crashed) in one
/// datagram, of up to 17 bytes each.
pub const SHARED_SUSPECTS_MAX: usize = 80;
/// Maximum size of a datagram, and the size of the receive buffer.
pub const DATAGRAM_BYTES_MAX: usize = 2_048;
/// Version of the message encoding, the first byte of each datagram. Datagrams of other versions
/// are ignored.
pub const VERSION: u8 = 20;

/// Number of requests that one host has in flight at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Tag of the server: a hash of its incarnation id, which is shorter than the id.
    pub server_tag: u32,
    /// Requests of the reporting host in flight at the server, at most 255.
    pub in_flight: u8,
}

/// Load and run time of a server, aggregated over the hosts of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSummary {
    /// Tag of the server: a hash of its incarnation id, which is shorter than the id.
    pub server_tag: u32,
    /// Sum of the requests that the zone's hosts have in flight at the server.
    pub in_flight: u16,
    /// Average run time in milliseconds that the zone's hosts have measured; 0 if no host of the
    /// zone has measured a run time.
    pub run_ms: u16,
}

/// Average run time of one server as measured by one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTime {
    /// Tag of the server: a hash of its incarnation id, which is shorter than the id.
    pub server_tag: u32,
    /// Average run time in milliseconds of the reporting host's requests at the server.
    pub run_ms: u16,
}

/// Slowdown (factor by which a server currently runs slower than usual) that a server announced to
/// a host since that host's last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSlowdown {
    /// Tag of the server: a hash of its incarnation id, which is shorter than the id.
    pub server_tag: u32,
    /// Current run time of requests relative to the usual run time of the server, in percent: 200
    /// is twice as slow.
    pub percent: u16,
    /// Time since the server announced the slowdown, in milliseconds, when the report is sent.
    pub age_ms: u16,
}

/// Backoff that a server asked a host for: a period in which that host sends the server no
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerBackoff {
    /// Tag of the server: a hash of its incarnation id, which is shorter than the id.
    pub server_tag: u32,
    /// Remaining time of the backoff, in milliseconds, when the report is sent.
    #[serde(rename = "rest_ms")]
    pub backoff_ms: u32,
}

/// Rate limit that a server advertised for the requests of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedRate {
    /// Requests a second; `None` if the server has lifted the limit.
    pub limit_per_s: Option<f64>,
    /// Time since the server's response that stated the limit, in milliseconds, when the message is
    /// sent.
    pub age_ms: u32,
}

/// Rate limit of a server and the request rates directed at it, from which each host computes its
/// share of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRate {
    /// Tag of the server: a hash of its incarnation id, which is shorter than the id.
    pub server_tag: u32,
    /// Limit that the server advertised last; `None` if the sender knows of no limit.
    pub reported: Option<AdvertisedRate>,
    /// Rates of the callers' requests that could be sent to the server.
    pub demand: DemandRates,
}

/// Requests that a host received and sent on behalf of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceUse {
    /// Tag of the workspace: a hash of its name, since its index differs between configurations.
    pub workspace_tag: u32,
    /// Numbers of requests received and sent since the sender's last report.
    pub used: QuotaUsage,
}

/// Fraction of a workspace's requests that each host may admit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceAdmitted {
    /// Tag of the workspace: a hash of its name, since its index differs between configurations.
    pub workspace_tag: u32,
    /// Fraction of the requests that hosts admit until a later announcement replaces the fraction
    /// or announcements cease.
    pub admitted: AdmittedShare,
}

/// Number of requests for one key that a host received since its last report of request counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// Tag of the service: a hash of its name.
    pub service_tag: u32,
    /// Key of the service that the requests were for.
    pub key: u16,
    /// Requests that the reporting host received for the key.
    pub requests: u16,
}

/// Properties of the sending host, for receivers that have not read the host row of the sender yet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Tag of the host's availability zone: a hash of its name, the same for all hosts of the zone.
    pub zone_tag: u32,
    /// Fraction of a processor that the host may use; 1.0 is a whole processor.
    pub processor_share: f32,
}

/// Message from one host to another. The position of each variant is part of the encoding.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Wraps a message that the receiver handles and forwards to the other hosts of its zone.
    Relay(Box<Message>),
    /// Wraps a message that a relay forwards to the other hosts of its zone.
    Relayed {
        /// Host that sent the message to the relay.
        origin: SocketAddr,
        /// Message as the relay received it from the origin.
        message: Box<Message>,
    },
    /// Acknowledges a message to relay, which shows that the relay is alive.
    RelayAck,
    /// Heartbeat, which the leader sends to all hosts while its leadership is confirmed.
    Heartbeat {
        /// Term of the leader. A receiver that knows a later term ignores `updates` and `hot`.
        term: u64,
        /// Time of sending, by the sender's clock, from which the receiver estimates the delay of
        /// the heartbeat.
        sent_ms: u64,
        /// Latest state of the store that the leader has seen.
        updates: StoreStateReport,
        /// Number of hosts that the leader knows, itself included.
        hosts: u32,
        /// Hot keys, which receive more requests than their server can handle.
        hot: Vec<HotKey>,
        /// Zones that operators have evacuated: their servers get no new work. The list is
        /// complete.
        evacuations: Evacuations,
        /// Digests of the requests that were quarantined most recently. Hosts send quarantined
        /// requests to no server.
        quarantined: Vec<RequestDigest>,
    },
    /// Report of the sender's load on servers.
    Report {
        /// Zone and processor share of the sending host, for receivers that have not read the row
        /// of that host yet.
        sender: Sender,
        /// Requests of the sender in flight, by server.
        servers: Vec<ServerLoad>,
        /// Slowdowns that servers announced to the sender since its last report.
        slowdowns: Vec<ServerSlowdown>,
    },
    /// Average run times of servers as measured by the sender.
    RunTimes(Vec<RunTime>),
    /// Loads and run times of servers, aggregated over the hosts of a zone.
    ZoneLoads {
        /// Tag of the zone that is summarised: a hash of its name.
        zone_tag: u32,
        /// Summaries by server. A summary may be missing if its requests in flight are the same as
        /// when it was last sent and its run time has changed little since.
        summaries: Vec<ServerSummary>,
    },
    /// Reports the sender's request counts by key to the leader, which plans moves of keys from
    /// these counts.
    Keys(Vec<KeyCount>),
    /// Announces moves of keys to other servers.
    Moving {
        /// Tag of the service: a hash of its name.
        service_tag: u32,
        /// Key ranges that are being moved. Each has the fence above which a grant completes the
        /// move, and the remaining time of the announcement.
        announcements: Vec<MoveAnnouncement>,
    },
    /// Changes of server entries that the sender, the leader, received from the store.
    Servers(ChangesPiece),
    /// Piece of a configuration that the leader received from the store, sent by the leader to all
    /// hosts or by any host in response to [`Message::QueryConfiguration`].
    Configuration(Piece),
    /// Queries the leader for the server that holds a key.
    QueryKeyOwner {
        /// Tag of the service: a hash of its name.
        service_tag: u32,
        /// Key whose server is unknown to the sender.
        key: u16,
    },
    /// States that the sender, which was the leader in `term`, grants no more leases. If the
    /// receiver is the next leader, the receiver stops waiting for the leases of `term` to expire.
    Stopped {
        /// Term in which the sender was the leader.
        term: u64,
    },
    /// Reports a server crash that the sender saw with requests of its own in flight.
    ServerEnded {
        /// Tag of the server: a hash of its incarnation id, which is shorter than the id.
        server_tag: u32,
        /// Digests of the sender's requests in flight at the server. Equal requests from different
        /// callers have different digests.
        digests: Vec<RequestDigest>,
        /// Digests of the same requests that do not depend on the caller, so that equal requests
        /// from different callers match.
        shared: Vec<SharedSuspect>,
    },
    /// Reports that a server successfully ran a suspect request (one that was in flight when a
    /// server crashed), so that the request is no longer suspect.
    SuspectCleared {
        /// Digest of the request that is no longer suspect.
        digest: RequestDigest,
        /// Time since the request was sent to the server, in milliseconds.
        sent_ago_ms: u32,
    },
    /// Announces that the sender starts a trial of a suspect request: a single attempt, alone at a
    /// server, of a request that was in flight when a server crashed.
    TrialStarted(ClaimSubject),
    /// Announces that the sender's claim on a suspect request or a server has ended, so that the
    /// next suspect may run. Either the trial has ended without a crash because the server
    /// responded, or the sender released the claim without a trial.
    TrialEnded(ClaimSubject),
    /// Reports the servers that asked the sender for a backoff. Sent to the leader.
    ReportBackoffs(Vec<ServerBackoff>),
    /// Reports rate limits of servers with the demand of the sender's callers. Sent to the leader.
    ReportRates(Vec<ServerRate>),
    /// Announces the rate limits of servers as the leader knows them, with the demand of the
    /// callers of all hosts. Sent by the leader to all hosts.
    RateTotals(Vec<ServerRate>),
    /// Reports the tags of servers that announced to the sender that they are leaving. A server is
    /// reported until its entry in the store shows the leave. Sent to the leader.
    ReportLeaving(Vec<u32>),
    /// Announces the tags of servers that told any host that they are leaving. Sent by the leader
    /// to all hosts.
    AnnounceLeaving(Vec<u32>),
    /// Reports the numbers of requests by workspace at the sender. Sent to the leader, which adds
    /// up the reports from all hosts.
    ReportUsage(Vec<WorkspaceUse>),
    /// Announces the fraction of each workspace's requests that a host may admit. Sent by the
    /// leader to all hosts. A message without workspaces shows that the leader is alive.
    AdmittedShare(Vec<WorkspaceAdmitted>),
    /// Queries a relay for the state of the store as the relay knows it, and the age of that
    /// knowledge.
    QueryStoreState {
        /// Identifies the query; returned in the response.
        nonce: u64,
        /// Zone and processor share of the sending host, for relays that have not read the row of
        /// that host yet.
        sender: Sender,
    },
    /// Responds to [`Message::QueryStoreState`] with the sender's view of the store.
    StoreState {
        /// Nonce of the query. A response with another nonce is ignored.
        nonce: u64,
        /// Latest state of the store that the sender has seen.
        updates: StoreStateReport,
        /// Zones that operators have evacuated: their servers get no new work. The list is
        /// complete.
        evacuations: Evacuations,
    },
    /// Queries the receiver for the age of its latest confirmation, which is the time since the
    /// receiver's configuration was known to be the current one.
    QueryConfigurationAge {
        /// Identifies the query; returned in the response.
        nonce: u64,
    },
    /// Responds to [`Message::QueryConfigurationAge`]: the sender's configuration was current
    /// `age_ms` ago.
    ConfigurationAge {
        /// Nonce of the query. A response with another nonce is ignored.
        nonce: u64,
        /// Age of the sender's latest confirmation, in milliseconds, when the response is sent.
        age_ms: u32,
        /// Version of the latest change of the operators' table that the sender knows.
        changed: u64,
    },
    /// Announces that servers were granted keys.
    Granted {
        /// Tag of the service: a hash of its name.
        service_tag: u32,
        /// Granted key ranges, each with the server that now holds it and the fence of the grant.
        #[serde(rename = "holdings")]
        assigned_ranges: Vec<AssignedRange>,
    },
    /// Reports the tags of servers that refused connections of the sender while no request of the
    /// sender was in flight there. Sent to the leader, which then tries connections to these servers
    /// to find out whether they have ended.
    RefusedConnections(Vec<u32>),
    /// Announces that the leader has given up the leadership, so that another host need not wait for
    /// missing heartbeats. Sent to all hosts.
    LeadershipReleased {
        /// Term that has ended.
        term: u64,
    },
    /// Asks whether the receiver carries tunnels of the sender to servers.
    QueryTunnels,
    /// Responds to [`Message::QueryTunnels`]: the sender carries tunnels.
    OfferTunnels {
        /// Time since a server last responded to the sender directly, in milliseconds; `None` if
        /// none has.
        contact_age_ms: Option<u32>,
    },
    /// Piece of a compressed configuration, sent in place of [`Message::Configuration`] if the
    /// configuration has too many pieces otherwise.
    CompressedConfiguration(Piece),
    /// Asks for the pieces of the latest configuration, because a report says that the sender lacks
    /// it.
    QueryConfiguration {
        /// Version up to which the sender has applied the operators' table.
        applied: u64,
    },
}
