//! Registry of the backend servers that this host knows, by incarnation and by service.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use super::{
    decide::{admission, notices::Notices},
    events::Event,
    model::ServerEntry,
    server::Server,
    updates::evacuation::Evacuations,
};
use crate::{
    clock,
    platform::store::{Row, Rows},
};

/// Grace period after the return of the store was noticed, in which entries that lapsed during the
/// outage may return. The platform promises that they do within about two seconds of the return. It
/// may also be only this host that was disconnected. Servers that left during the disconnection
/// must then be known within 3 s of its end, and up to 0.75 s of that pass until the end is
/// noticed.
const RETURN_GRACE_MS: u64 = 1_800;
/// Maximum number of servers without an entry whose addresses are remembered.
const FORMER_MAX: usize = 500;

/// Time for which notices of a server without an entry are kept. An entry that lapsed while the
/// store was unavailable returns within about 2 s of the return of the store; the remaining time is
/// for servers that reach the store late.
const NOTICES_KEPT_MS: u64 = 10 * 60 * 1_000;

/// Notices of a server without an entry. Responses to its requests in flight may still add to them.
#[derive(Clone, Debug)]
struct KeptNotices {
    notices: Arc<Mutex<Notices>>,
    until_ms: u64,
}

/// A server whose entry is gone. It may still hold keys.
#[derive(Clone, Debug)]
pub struct FormerServer {
    /// Identifier of the incarnation, which stands for one start of the server's process.
    pub id: Arc<str>,
    /// Name of the server in the platform, the same for all its incarnations.
    pub name: Arc<str>,
    /// Address at which the server answered requests.
    pub address: SocketAddr,
}

/// All known servers, by incarnation and by service.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_id: HashMap<Arc<str>, Arc<Server>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Server>>>,
    /// Latest incarnation whose entry was seen, by name.
    incarnations: HashMap<Arc<str>, Arc<str>>,
    /// Servers whose entries are missing, by name, and the time up to which they still count as
    /// present.
    missing: HashMap<Arc<str>, u64>,
    /// Servers whose entries are gone, the latest last.
    former: Vec<FormerServer>,
    /// Notices of servers without an entry, by incarnation.
    kept_notices: HashMap<Arc<str>, KeptNotices>,
    /// Evacuated zones, and the time at which this host learned of each evacuation.
    evacuated: HashMap<Arc<str>, u64>,
}

impl Registry {
    /// Returns the server with an incarnation id; `None` if no entry of it is known.
    pub fn server(&self, id: &str) -> Option<&Arc<Server>> {
        self.by_id.get(id)
    }

    /// Returns all servers of a service, also those that take no new work; empty if there are none.
    pub fn of_service(&self, service: &str) -> &[Arc<Server>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the servers of a service that take new work, without those that the request has
    /// `tried` before.
    pub fn usable(&self, service: &str, tried: &[Arc<str>]) -> Vec<&Arc<Server>> {
        let servers = self.of_service(service).iter();
        let usable = servers.filter(|s| s.takes_new_work() && !tried.contains(&s.entry.id));
        usable.collect()
    }

    /// Returns the servers of a service that may still get a request that arrived at `arrived_ms`,
    /// including servers that had announced their leaving less than `hold_ms` before that.
    pub fn usable_while_leaving(
        &self,
        service: &str,
        tried: &[Arc<str>],
        arrived_ms: u64,
        hold_ms: u64,
    ) -> Vec<&Arc<Server>> {
        let servers = self.of_service(service).iter();
        let usable = servers.filter(|server| {
            server.takes_work_while_leaving(arrived_ms, hold_ms)
                && !tried.contains(&server.entry.id)
        });
        usable.collect()
    }

    /// Returns the average run time of requests at the servers of a service, in milliseconds; a
    /// default if no server has a sample.
    pub fn typical_run_ms(&self, service: &str) -> f64 {
        let servers = self.of_service(service).iter();
        admission::typical_run_ms(servers.map(|server| server.run_ms()))
    }

    /// Iterates over the servers of all services, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_id.values()
    }

    /// Returns a server whose entry is gone, by its incarnation id; `None` if it is not remembered.
    pub fn former(&self, id: &str) -> Option<&FormerServer> {
        self.former.iter().rfind(|former| *former.id == *id)
    }

    /// Adds or renews an entry. A new entry with the address of a known server does not end that
    /// server: the store may accept a late heartbeat of an earlier incarnation after the first one
    /// of a later incarnation. For the same reason, an entry of an earlier start under the same
    /// name is ignored.
    pub fn put(&mut self, entry: ServerEntry) {
        let event = Event::server(&entry);
        if self.take(entry) {
            event.log();
        }
    }

    /// Adds or renews many entries and logs one event for all, in place of one per server.
    pub fn put_all(&mut self, entries: impl Iterator<Item = ServerEntry>) {
        let new = entries
            .filter_map(|entry| self.take(entry).then_some(()))
            .count();
        Event::Servers { new }.log();
    }

    /// Adds or renews an entry. Returns true if its server was not known.
    fn take(&mut self, entry: ServerEntry) -> bool {
        if let Some(known) = self.latest_incarnation(&entry.name) {
            if entry.started_ms < known.entry.started_ms {
                return false;
            }
            if known.matches_entry(&entry) {
                known.renew(&entry);
                self.missing.remove(&entry.name);
                return false;
            }
            self.drop_server(&entry.name);
        }
        self.missing.remove(&entry.name);
        let kept = self.kept_notices.remove(&entry.id);
        let notices = kept.map(|kept| kept.notices).unwrap_or_default();
        let server = Arc::new(Server::with_notices(entry, notices));
        let zone = &server.entry.availability_zone;
        server.set_evacuated(self.evacuated.get(zone).copied());
        let (id, name) = (server.entry.id.clone(), server.entry.name.clone());
        let service = server.entry.service.clone();
        self.incarnations.insert(name, id.clone());
        self.by_id.insert(id, server.clone());
        self.by_service.entry(service).or_default().push(server);
        true
    }

    /// Removes the entry of a name. If the store has just returned, the server stays for the grace
    /// period in which live servers write their entries again.
    pub fn remove(&mut self, name: &str, store_returned_ms: u64) {
        let until_ms = store_returned_ms + RETURN_GRACE_MS;
        if clock::now_ms() < until_ms && self.incarnations.contains_key(name) {
            self.missing.entry(name.into()).or_insert(until_ms);
            return;
        }
        self.drop_server(name);
    }

    /// Sets the evacuated zones. Servers of a zone that is restored may have become cold, so they
    /// count as cold for the warm-up time of their service.
    pub fn set_evacuations(&mut self, zones: &Evacuations, warmup_ms: impl Fn(&str) -> u64) {
        let now_ms = clock::now_ms();
        let known = std::mem::take(&mut self.evacuated);
        for zone in &zones.zones {
            let since_ms = known.get(zone).copied().unwrap_or(now_ms);
            self.evacuated.insert(zone.clone(), since_ms);
        }
        for server in self.by_id.values() {
            let zone = &server.entry.availability_zone;
            let since_ms = self.evacuated.get(zone).copied();
            server.set_evacuated(since_ms);
            if known.contains_key(zone) && since_ms.is_none() {
                server.set_cold_for(warmup_ms(&server.entry.service));
            }
        }
    }

    /// Returns the changes from this registry, which is complete up to the version `after`, to a
    /// complete table.
    pub fn difference(&self, whole: &Rows, after: u64) -> Rows {
        let present: HashSet<&str> = whole.rows.iter().map(|row| row.key.as_str()).collect();
        let names = self.incarnations.keys();
        let gone = names.filter(|name| !present.contains(&***name));
        let removed = gone.map(|name| Row {
            key: name.to_string(),
            value: Vec::new(),
            version: whole.version,
            removed: true,
        });
        let newer = whole.rows.iter().filter(|row| row.version > after);
        let mut rows: Vec<Row> = newer.cloned().chain(removed).collect();
        rows.sort_by_key(|row| row.version);
        Rows {
            rows,
            version: whole.version,
        }
    }

    /// Removes every server whose name is not in `present`, as [`Registry::remove`] does.
    pub fn retain(&mut self, present: &HashSet<Arc<str>>, store_returned_ms: u64) {
        let names = self.incarnations.keys();
        let absent = names.filter(|name| !present.contains(*name));
        let absent: Vec<Arc<str>> = absent.cloned().collect();
        for name in absent {
            self.remove(&name, store_returned_ms);
        }
    }

    /// Returns true if the grace period of a missing entry is over, so that its server must be
    /// removed.
    pub fn has_overdue(&self) -> bool {
        let now_ms = clock::now_ms();
        self.missing.values().any(|until_ms| *until_ms <= now_ms)
    }

    /// Returns true if entries are missing that may still return.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Removes the servers whose entries have not returned within the grace period.
    pub fn drop_overdue(&mut self) {
        let now_ms = clock::now_ms();
        let overdue: Vec<Arc<str>> = self
            .missing
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for name in overdue {
            self.drop_server(&name);
        }
    }

    /// Returns the server with the latest incarnation of a name.
    fn latest_incarnation(&self, name: &str) -> Option<&Arc<Server>> {
        self.by_id.get(self.incarnations.get(name)?)
    }

    /// Removes the server of a name at once, without a grace period. Used when its entry is gone
    /// for good, cannot be decoded, or was replaced by the entry of another server.
    pub fn drop_server(&mut self, name: &str) {
        self.missing.remove(name);
        let Some(id) = self.incarnations.remove(name) else {
            return;
        };
        let Some(server) = self.by_id.remove(&id) else {
            return;
        };
        // Requests that are about to choose this server see that it is leaving.
        server.set_leaving(true);
        Event::server_gone(&server.entry).log();
        self.keep_notices(&server);
        if self.former.len() >= FORMER_MAX {
            self.former.remove(0);
        }
        self.former.push(FormerServer {
            id: id.clone(),
            name: name.into(),
            address: server.entry.address,
        });
        if let Some(servers) = self.by_service.get_mut(&server.entry.service) {
            servers.retain(|other| *other.entry.id != *id);
        }
    }

    /// Keeps the notices of a server, as its entry may return.
    fn keep_notices(&mut self, server: &Server) {
        let now_ms = clock::now_ms();
        self.kept_notices.retain(|_, kept| now_ms < kept.until_ms);
        let kept = KeptNotices {
            notices: server.kept_notices(),
            until_ms: now_ms + NOTICES_KEPT_MS,
        };
        self.kept_notices.insert(server.entry.id.clone(), kept);
    }
}
