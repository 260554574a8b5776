//! Applies changes to the replicated state. An invalid change is refused and leaves the state
//! unchanged.

use std::sync::Arc;

use snafu::{OptionExt, ensure};

use super::{
    change::{Change, CompletedMove, LogEntry, SlotMove},
    entry::{
        Document, HostEntry, HostState, RecentOperation, ServerEntry, ServerState, ServiceEntry,
        SlotEntry, State,
    },
    error::{DeclarationSnafu, Error, InUseSnafu, OrderSnafu, OutdatedSnafu, Result, UnknownSnafu},
};
use crate::{
    configuration::{self, ServiceSpec, Template, Workspace, expand, workspace::Target},
    id::{Epoch, HostKey, Incarnation, LeaseEpoch, OperationId, ServerKey, ServiceKey, Slot},
    membership::registry::quorum_members,
};

/// Maximum number of operation identifiers kept to recognise retried changes. A retry of an older
/// change is not recognised and is applied again if it is still valid.
const OPERATIONS_KEPT: usize = 4096;

impl State {
    /// Applies the next entry of the change log. On an error the state is unchanged.
    pub fn apply(&mut self, entry: &LogEntry) -> Result<()> {
        ensure!(
            entry.revision == self.revision.next(),
            OrderSnafu {
                found: entry.revision.0,
                applied: self.revision.0,
            }
        );
        // The revision is raised first, because each entry that the change modifies records it.
        self.revision = entry.revision;
        if let Err(error) = self.change(&entry.change) {
            self.revision.0 -= 1;
            return Err(error);
        }
        if entry.change.is_declaration() {
            self.configuration = entry.revision;
        }
        self.recent_operations.push_back(RecentOperation {
            id_hash: entry.operation_id.hash(),
            revision: entry.revision,
        });
        if self.recent_operations.len() > OPERATIONS_KEPT {
            self.recent_operations.pop_front();
        }
        Ok(())
    }

    /// Applies a change as if it were the next entry of the log, to find out its effect or the
    /// reason of a refusal. The caller applies the change to a copy of the state.
    pub fn apply_dry_run(&mut self, change: Change) -> Result<()> {
        self.apply(&LogEntry {
            revision: self.revision.next(),
            operation_id: OperationId::random(),
            actor: String::new(),
            at_unix_ms: 0,
            change,
        })
    }

    fn change(&mut self, change: &Change) -> Result<()> {
        match change {
            Change::TemplateSubmitted { document } => self.submit_template(document),
            Change::TemplateWithdrawn { name } => self.withdraw_template(name),
            Change::WorkspaceSubmitted { document } => self.submit_workspace(document),
            Change::WorkspaceWithdrawn { name } => self.withdraw_workspace(name),
            Change::HostRegistered {
                name,
                incarnation,
                peer_address,
                availability_zone,
            } => {
                self.register_host(HostEntry {
                    name: name.clone(),
                    incarnation: *incarnation,
                    peer_address: *peer_address,
                    availability_zone: availability_zone.clone(),
                    state: HostState::Joining,
                    changed: self.revision,
                });
                Ok(())
            }
            Change::HostPromoted { host, incarnation } => {
                self.change_quorum(*host, *incarnation, HostState::Live)
            }
            Change::HostLeaving { host, incarnation } => {
                self.set_host(*host, *incarnation, HostState::Leaving)
            }
            Change::HostRemoved { host, incarnation } => {
                self.change_quorum(*host, *incarnation, HostState::Removed)?;
                self.registry.removal = self.revision;
                Ok(())
            }
            Change::RegistrySettled { registry } => {
                let reason = "the registry has changed, or its last change is already complete";
                let due = self.registry.changed == *registry && !self.registry.is_change_complete();
                ensure!(due, OutdatedSnafu { reason });
                self.registry.completed = self.revision;
                self.registry.previous_quorum_members.clear();
                Ok(())
            }
            Change::ServerJoined {
                server,
                incarnation,
            } => self.join_server(*server, *incarnation),
            Change::ServerDraining {
                server,
                lease_epoch,
                draining,
            } => {
                let entry = self.server_in(*server, *lease_epoch, ServerState::Live)?;
                entry.draining = *draining;
                Ok(())
            }
            Change::ServerLost {
                server,
                lease_epoch,
            } => {
                let entry = self.server_in(*server, *lease_epoch, ServerState::Live)?;
                entry.state = ServerState::Lost;
                Ok(())
            }
            Change::ServerLapsed {
                server,
                lease_epoch,
            } => {
                let entry = self.server_in(*server, *lease_epoch, ServerState::Lost)?;
                entry.state = ServerState::Absent;
                self.remove_server_from_slots(*server);
                Ok(())
            }
            Change::MovesBegun { service, moves } => self.begin_moves(*service, moves),
            Change::MovesCompleted { service, done } => self.complete_moves(*service, done),
        }
    }

    /// Puts a template in force and expands it again for each workspace that uses it. Refuses the
    /// template if one of these workspaces would become invalid.
    fn submit_template(&mut self, document: &str) -> Result<()> {
        let template = Template::read(document.as_bytes()).map_err(declaration)?;
        let mut problems = Vec::new();
        let mut specs = Vec::new();
        for existing in self.workspaces.values() {
            let workspace = Workspace::read(existing.text.as_bytes()).map_err(declaration)?;
            if workspace.template != template.template {
                continue;
            }
            match expand(&template, &workspace) {
                Ok(expanded) => specs.push((workspace.workspace, expanded)),
                Err(more) => problems.extend(more),
            }
        }
        ensure!(problems.is_empty(), DeclarationSnafu { problems });
        for (_, expanded) in &specs {
            self.check_slots(expanded)?;
        }
        for (workspace, expanded) in specs {
            self.put_services(&workspace, expanded);
        }
        let document = self.document(document);
        self.templates.insert(template.template, document);
        Ok(())
    }

    fn withdraw_template(&mut self, name: &str) -> Result<()> {
        let kind = "template";
        ensure!(
            self.templates.contains_key(name),
            UnknownSnafu { kind, name }
        );
        for (workspace, existing) in &self.workspaces {
            let read = Workspace::read(existing.text.as_bytes()).map_err(declaration)?;
            ensure!(
                read.template != name,
                InUseSnafu {
                    template: name,
                    workspace
                }
            );
        }
        self.templates.remove(name);
        Ok(())
    }

    fn submit_workspace(&mut self, document: &str) -> Result<()> {
        let workspace = Workspace::read(document.as_bytes()).map_err(declaration)?;
        let existing = self.templates.get(&workspace.template);
        let existing = existing.context(UnknownSnafu {
            kind: "template",
            name: &workspace.template,
        })?;
        let template = Template::read(existing.text.as_bytes()).map_err(declaration)?;
        let specs =
            expand(&template, &workspace).map_err(|problems| Error::Declaration { problems })?;
        self.check_slots(&specs)?;
        self.put_services(&workspace.workspace, specs);
        let document = self.document(document);
        self.workspaces.insert(workspace.workspace, document);
        Ok(())
    }

    fn withdraw_workspace(&mut self, name: &str) -> Result<()> {
        let removed = self.workspaces.remove(name);
        removed.context(UnknownSnafu {
            kind: "workspace",
            name,
        })?;
        self.put_services(name, Vec::new());
        Ok(())
    }

    fn document(&self, text: &str) -> Document {
        Document {
            text: text.to_owned(),
            revision: self.revision,
        }
    }

    /// Refuses a declaration that changes the number of slots of an existing service, because the
    /// keys of the service would then belong to other slots.
    fn check_slots(&self, specs: &[ServiceSpec]) -> Result<()> {
        for spec in specs {
            let existing = self
                .service_key(&spec.name)
                .and_then(|key| self.service(key));
            let Some(existing) = existing else { continue };
            if existing.spec.slots != spec.slots {
                return Err(Error::SlotsFixed {
                    service: spec.name.clone(),
                    slots: existing.spec.slots,
                });
            }
        }
        Ok(())
    }

    /// Adds or updates the services of a workspace, and withdraws its services that are not in
    /// `specs`.
    fn put_services(&mut self, workspace: &str, specs: Vec<ServiceSpec>) {
        let prefix = format!("{workspace}/");
        for service in &mut self.services {
            let kept = specs.iter().any(|spec| spec.name == service.spec.name);
            if service.active && service.spec.name.starts_with(&prefix) && !kept {
                Arc::make_mut(service).active = false;
            }
        }
        for spec in specs {
            self.put_service(spec);
        }
    }

    fn put_service(&mut self, spec: ServiceSpec) {
        let mut targets = Vec::with_capacity(spec.targets.len());
        for target in &spec.targets {
            targets.push(self.put_server(target));
        }
        let Some(key) = self.service_key(&spec.name) else {
            let slots = vec![SlotEntry::default(); spec.slots as usize];
            self.services.push(Arc::new(ServiceEntry {
                spec,
                targets,
                slots,
                active: true,
            }));
            return;
        };
        let service = Arc::make_mut(&mut self.services[key.0 as usize]);
        service.spec = spec;
        service.targets = targets;
        service.active = true;
    }

    fn put_server(&mut self, target: &Target) -> ServerKey {
        if let Some(key) = self.server_key(target.address) {
            let entry = &mut self.servers[key.0 as usize];
            entry.availability_zone = target.availability_zone.clone();
            return key;
        }
        self.servers.push(ServerEntry {
            address: target.address,
            availability_zone: target.availability_zone.clone(),
            incarnation: Incarnation::default(),
            lease_epoch: LeaseEpoch::default(),
            state: ServerState::Absent,
            draining: false,
            changed: self.revision,
        });
        ServerKey(self.servers.len() as u32 - 1)
    }

    fn register_host(&mut self, mut entry: HostEntry) {
        let address = entry.peer_address;
        let is_predecessor =
            |host: &&mut HostEntry| host.registered() && host.peer_address == address;
        // Two processes cannot bind one address, so the earlier process has ended. The new process
        // replaces the earlier process as a quorum member, because the new process has applied
        // every change that the earlier process had confirmed.
        if let Some(predecessor) = self.hosts.iter_mut().find(is_predecessor) {
            if predecessor.is_quorum_member() {
                entry.state = HostState::Live;
                self.registry.changed = self.revision;
                self.registry.removal = self.revision;
                let mut previous = self.registry.previous_quorum_members.iter_mut();
                if let Some(quorum_member) =
                    previous.find(|v| v.incarnation == predecessor.incarnation)
                {
                    quorum_member.incarnation = entry.incarnation;
                }
            }
            *predecessor = entry;
            return;
        }
        // An earlier process of the same name at another address remains a quorum member until the
        // earlier process is removed and its removal is complete.
        match self.hosts.iter_mut().find(|host| !host.registered()) {
            Some(free) => *free = entry,
            None => self.hosts.push(entry),
        }
    }

    /// Promotes or removes a host, which changes the quorum members. The last change of the
    /// registry must be complete, so that at most two sets of quorum members are in use.
    fn change_quorum(
        &mut self,
        key: HostKey,
        incarnation: Incarnation,
        to: HostState,
    ) -> Result<()> {
        let reason = "the registry's last change is not complete";
        ensure!(self.registry.is_change_complete(), OutdatedSnafu { reason });
        let before = quorum_members(self);
        self.set_host(key, incarnation, to)?;
        self.registry.changed = self.revision;
        self.registry.quorum_changed = self.revision;
        self.registry.previous_quorum_members = before;
        Ok(())
    }

    /// Sets the state of a host. Fails if another process has replaced the process `incarnation`,
    /// or if the host is already in the state `to`.
    fn set_host(&mut self, key: HostKey, incarnation: Incarnation, to: HostState) -> Result<()> {
        let revision = self.revision;
        let entry = self.hosts.get_mut(key.0 as usize);
        let entry = entry.filter(|host| host.incarnation == incarnation && host.state != to);
        let entry = entry.context(OutdatedSnafu {
            reason: "the host has restarted or is already in that state",
        })?;
        entry.state = to;
        entry.changed = revision;
        Ok(())
    }

    /// Returns the entry of a server for modification and sets its `changed` revision. Fails unless
    /// the server is in the given lease epoch and state.
    fn server_in(
        &mut self,
        key: ServerKey,
        lease_epoch: LeaseEpoch,
        state: ServerState,
    ) -> Result<&mut ServerEntry> {
        let revision = self.revision;
        let entry = self.servers.get_mut(key.0 as usize);
        let entry = entry.filter(|s| s.lease_epoch == lease_epoch && s.state == state);
        let entry = entry.context(OutdatedSnafu {
            reason: "the server is in another lease epoch or state",
        })?;
        entry.changed = revision;
        Ok(entry)
    }

    /// Begins a new lease epoch for a server that has no lease; fails for any other server.
    fn join_server(&mut self, key: ServerKey, incarnation: Incarnation) -> Result<()> {
        let revision = self.revision;
        let entry = self.servers.get_mut(key.0 as usize);
        let entry = entry.filter(|server| server.state == ServerState::Absent);
        let entry = entry.context(OutdatedSnafu {
            reason: "the server's last lease may still be valid",
        })?;
        entry.incarnation = incarnation;
        entry.lease_epoch.0 += 1;
        entry.state = ServerState::Live;
        entry.draining = false;
        entry.changed = revision;
        Ok(())
    }

    /// Removes a server whose lease has expired as the owner and next owner of every slot. A move
    /// to that server is turned into a move back to the old owner.
    fn remove_server_from_slots(&mut self, server: ServerKey) {
        let concerns = |slot: &SlotEntry| slot.owner == Some(server) || slot.next == Some(server);
        for service in &mut self.services {
            if !service.slots.iter().any(concerns) {
                continue;
            }
            for slot in &mut Arc::make_mut(service).slots {
                slot.remove_server(server);
            }
        }
    }

    /// Begins moves of slots. All moves are checked before the first is applied, so that a refused
    /// change has no effect.
    fn begin_moves(&mut self, service: ServiceKey, moves: &[SlotMove]) -> Result<()> {
        for begun in moves {
            let server = self.server(begun.to);
            let live = server.is_some_and(|server| server.state == ServerState::Live);
            let reason = "the next owner is not live";
            ensure!(live, OutdatedSnafu { reason });
            let slot = self.slot(service, begun.slot)?;
            let free = slot.next.is_none() && slot.epoch.next() == begun.epoch;
            let reason = "the slot is already moving or has moved";
            ensure!(free, OutdatedSnafu { reason });
        }
        for begun in moves {
            let slot = self.slot_mut(service, begun.slot)?;
            slot.next = Some(begun.to);
            slot.epoch = begun.epoch;
        }
        Ok(())
    }

    /// Completes moves of slots. All moves are checked before the first is applied, so that a
    /// refused change has no effect.
    fn complete_moves(&mut self, service: ServiceKey, done: &[CompletedMove]) -> Result<()> {
        for done in done {
            let slot = self.slot(service, done.slot)?;
            let moving = slot.next.is_some() && slot.epoch == done.epoch;
            let reason = "the slot is not moving at this epoch";
            ensure!(moving, OutdatedSnafu { reason });
        }
        for done in done {
            let slot = self.slot_mut(service, done.slot)?;
            slot.owner = slot.next.take();
        }
        Ok(())
    }

    fn slot(&self, service: ServiceKey, slot: Slot) -> Result<SlotEntry> {
        let entry = self.service(service);
        let entry = entry.and_then(|service| service.slots.get(slot.0 as usize));
        let reason = "there is no such slot";
        entry.copied().context(OutdatedSnafu { reason })
    }

    fn slot_mut(&mut self, service: ServiceKey, slot: Slot) -> Result<&mut SlotEntry> {
        let entry = self.services.get_mut(service.0 as usize);
        let entry = entry.map(Arc::make_mut);
        let entry = entry.and_then(|service| service.slots.get_mut(slot.0 as usize));
        let reason = "there is no such slot";
        entry.context(OutdatedSnafu { reason })
    }

    /// Returns the epoch of the next grant of a slot, one above the highest epoch issued for it.
    pub fn next_epoch(&self, service: ServiceKey, slot: Slot) -> Epoch {
        let epoch = self.slot(service, slot).map(|entry| entry.epoch);
        epoch.unwrap_or_default().next()
    }
}

fn declaration(problem: configuration::Error) -> Error {
    Error::Declaration {
        problems: vec![problem],
    }
}
