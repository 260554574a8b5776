//! Subcommands `ashroad status`, `owner`, `audit` and `host`: queries of the operators' API, and
//! the planned stop of a host.

use ashroad::operator::message::{HostStatus, StatusBody};
use snafu::ResultExt;

use crate::{
    app::{ApiArgs, AuditArgs, HostAction, HostArgs, OwnerArgs},
    declaration::client,
    error::{CallSnafu, Result},
    output,
};

/// Runs `ashroad status`: prints the hosts, servers and services.
pub async fn status(api: ApiArgs, json: bool) -> Result<()> {
    let status = client(&api)?.status().await.context(CallSnafu)?;
    if json {
        output::json(&status);
    } else {
        print_status(&status);
    }
    Ok(())
}

fn print_status(status: &StatusBody) {
    let fresh = if status.fresh { "fresh" } else { "NOT FRESH" };
    output::line(&format!(
        "host {}: revision {}, configuration {}, term {}, {fresh}",
        status.host, status.revision, status.configuration, status.term
    ));
    print_hosts(&status.hosts);
    for server in &status.servers {
        let draining = if server.draining { ", draining" } else { "" };
        output::line(&format!(
            "server {} in {}: {}{draining}, {} slots",
            server.address, server.availability_zone, server.state, server.slots
        ));
    }
    for service in &status.services {
        output::line(&format!(
            "service {}: {} of {} slots settled, {} moving",
            service.name, service.settled, service.slots, service.moving
        ));
    }
}

fn print_hosts(hosts: &[HostStatus]) {
    let known = |number: Option<u64>| number.map_or_else(|| "-".to_owned(), |n| n.to_string());
    for host in hosts {
        output::line(&format!(
            "host {} in {}: {}, revision {} since {} ms, heard {} ms ago",
            host.name,
            host.availability_zone,
            host.state,
            known(host.revision),
            known(host.since_ms),
            known(host.heard_ms)
        ));
    }
}

/// Runs `ashroad owner`: prints the server that owns a key, and the next owner while the slot of
/// the key moves.
pub async fn owner(args: OwnerArgs, json: bool) -> Result<()> {
    let client = client(&args.api)?;
    let owner = client.owner(&args.service, &args.key).await;
    let owner = owner.context(CallSnafu)?;
    if json {
        output::json(&owner);
        return Ok(());
    }
    let name = |address: Option<String>| address.unwrap_or_else(|| "nobody".to_owned());
    let moving = owner.next.is_some();
    let mut text = format!(
        "slot {} at epoch {} is owned by {}",
        owner.slot,
        owner.epoch,
        name(owner.owner)
    );
    if moving {
        text.push_str(&format!(" and moves to {}", name(owner.next)));
    }
    output::line(&text);
    Ok(())
}

/// Runs `ashroad audit`: prints the audit trail.
pub async fn audit(args: AuditArgs, json: bool) -> Result<()> {
    let page = client(&args.api)?.audit(args.after).await;
    let page = page.context(CallSnafu)?;
    if json {
        output::json(&page);
        return Ok(());
    }
    for entry in &page.entries {
        output::line(&format!(
            "{}  {}  {}  {}",
            entry.revision, entry.at_unix_ms, entry.actor, entry.change
        ));
    }
    Ok(())
}

/// Runs `ashroad host`: lists the hosts, or begins the planned stop of the host whose API is
/// called.
pub async fn host(args: HostArgs, json: bool) -> Result<()> {
    match args.action {
        HostAction::List(api) => {
            let status = client(&api)?.status().await.context(CallSnafu)?;
            if json {
                output::json(&status.hosts);
            } else {
                print_hosts(&status.hosts);
            }
        }
        HostAction::Drain(api) => {
            let draining = client(&api)?.drain_host().await.context(CallSnafu)?;
            if json {
                output::json(&draining);
            } else {
                output::line(&format!("host {} begins its planned stop", draining.host));
            }
        }
    }
    Ok(())
}
