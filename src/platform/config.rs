//! Decodes the configuration document that operators write to the platform's store: services,
//! routes, limits and workspaces.

use super::{
    error::{Error, Result},
    wire::{WireConfig, WireRoute, WireTenant},
};
use crate::entry::{
    decide::quota::Quota,
    model::{CallerLimits, Configuration, Route, RouteTarget, Service, Warmup},
    workspaces::{ApiKeyDigest, Workspace, Workspaces},
};

/// Store table of the rows that operators write.
pub const TABLE: &str = "op";
/// Row key of the configuration document, which holds all services, routes and workspaces.
pub const KEY: &str = "config";

/// Prefix of the row keys that mark evacuated availability zones; the name of the zone follows the
/// prefix. A zone is evacuated while its row exists, whatever the row contains.
const EVACUATION_PREFIX: &str = "evacuate/";

/// Returns the availability zone that the row with this key evacuates; `None` for other rows.
pub fn evacuated_zone(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// Decodes the configuration document. Fails with the reason if a required field is missing or
/// invalid.
pub fn decode(value: &[u8]) -> Result<Configuration> {
    let document_error = |message: String| Error::Document {
        what: "configuration".to_owned(),
        message,
    };
    let wire: WireConfig =
        serde_json::from_slice(value).map_err(|error| document_error(error.to_string()))?;
    let version = u64::from_str_radix(&wire.version, 16)
        .map_err(|_| document_error(format!("version '{}' is not hexadecimal", wire.version)))?;
    let limits = CallerLimits {
        head_bytes: wire.limits.max_header_bytes,
        body_bytes: wire.limits.max_body_bytes,
        head_timeout_ms: wire.limits.header_timeout,
        idle_timeout_ms: wire.limits.idle_timeout,
    };
    let services = wire.services.into_iter().map(|service| Service {
        name: service.name.into(),
        health_path: service.health_path,
        connections_max: service.max_conns,
        sharded: service.sharded,
        warmup: service.warmup_per_s.map(|per_s| Warmup {
            time_ms: service.warmup.unwrap_or(0),
            per_s,
        }),
    });
    let mut configuration = Configuration::new(version, limits, services.collect());
    for host in wire.hosts {
        for route in host.paths {
            configuration.add_route(&host.host, decode_route(route));
        }
    }
    if let Some(tenants) = wire.tenants {
        configuration.set_workspaces(decode_workspaces(tenants));
    }
    Ok(configuration)
}

fn decode_workspaces(wire: Vec<WireTenant>) -> Workspaces {
    let mut workspaces = Workspaces::default();
    for tenant in wire {
        let quota = (tenant.rate_per_s > 0.0).then_some(Quota {
            per_s: tenant.rate_per_s,
            burst: tenant.burst.max(0.0),
        });
        let workspace = Workspace {
            quota,
            regions: tenant
                .allowed_regions
                .iter()
                .map(|r| r.as_str().into())
                .collect(),
            ..Workspace::new(&tenant.name, tenant.priority)
        };
        let api_keys = tenant.api_keys.iter();
        workspaces.add(workspace, api_keys.map(|key| ApiKeyDigest::of(key)));
    }
    workspaces
}

/// Kinds of routes whose requests may run more than once. Requests of any other kind, unknown ones
/// included, run at most once.
const REPEATABLE_KINDS: [&str; 2] = ["safe", "download"];

fn decode_route(wire: WireRoute) -> Route {
    let mut targets: Vec<RouteTarget> = wire
        .split
        .into_iter()
        .map(|share| RouteTarget {
            service: share.service.into(),
            weight: share.weight,
        })
        .collect();
    if let Some(service) = wire.service {
        targets = vec![RouteTarget {
            service: service.into(),
            weight: 1.0,
        }];
    }
    Route {
        name: wire.name.into(),
        path_prefix: wire.path_prefix,
        repeatable: REPEATABLE_KINDS.contains(&wire.kind.as_str()),
        timeout_ms: wire.timeout,
        aim_ms: wire.aim.unwrap_or(wire.timeout),
        priority: wire.priority,
        is_public: wire.public,
        regions: wire
            .allowed_regions
            .iter()
            .map(|r| r.as_str().into())
            .collect(),
        targets,
        attempts_max: wire.max_attempts.unwrap_or(1).max(1),
    }
}
