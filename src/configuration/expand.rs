//! Expands a template into the services of one workspace, with the parameters replaced by the
//! values that the workspace sets.

use serde::{Deserialize, Serialize};

use super::{
    error::{Error, Result, field},
    template::{KeySource, Number, Service, Template, UnrepeatableRule, Weights, reference},
    workspace::{Target, Value, Workspace},
};

/// Service of one workspace, with each `${name}` replaced by the value of that parameter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Full name of the service, `workspace/service`.
    pub name: String,
    /// Part of a request that holds the key: a path segment or a header.
    pub key: KeySource,
    /// Number of slots over which the keys of the service are spread by hash; at least 1.
    pub slots: u32,
    /// Backend servers that may own slots of the service.
    pub targets: Vec<Target>,
    /// Number of requests that one server runs concurrently. Each host has at most this number of
    /// requests in flight to the server.
    pub server_slots: u64,
    /// Maximum number of connections to one server, over all entry hosts. The value is checked and
    /// expanded, but no host enforces it.
    pub server_connections: u64,
    /// Maximum number of requests of the service in flight in one entry host, including requests
    /// that wait. The host refuses further requests.
    pub queue_requests: u64,
    /// Time in milliseconds that a request may take if its caller sets no deadline.
    pub deadline_ms: u64,
    /// True if the servers check the sender and the age of orders. An order is a command by which a
    /// host makes a server renew its lease, hold keys or release keys. Always true, because a
    /// template with `checks_orders: false` is rejected.
    pub checks_orders: bool,
    /// Rules for requests that must run at most once.
    pub unrepeatable: Vec<UnrepeatableRule>,
    /// Weights of the planner's cost function, copied from the template.
    pub weights: Weights,
}

/// Expands every service of a workspace. Fails with all errors that were found.
pub fn expand(
    template: &Template,
    workspace: &Workspace,
) -> std::result::Result<Vec<ServiceSpec>, Vec<Error>> {
    let mut problems = unknown_parameters(template, workspace);
    let mut specs = Vec::new();
    for service in &template.services {
        match expand_service(template, workspace, service) {
            Ok(spec) => specs.push(spec),
            Err(problem) if !problems.contains(&problem) => problems.push(problem),
            Err(_) => {}
        }
    }
    if problems.is_empty() {
        return Ok(specs);
    }
    Err(problems)
}

fn unknown_parameters(template: &Template, workspace: &Workspace) -> Vec<Error> {
    workspace
        .parameters
        .keys()
        .filter(|name| template.parameter(name).is_none())
        .map(|name| {
            let expected = format!("a parameter of template {}", template.template);
            field(format!("parameters.{name}"), "an unknown name", expected)
        })
        .collect()
}

fn expand_service(
    template: &Template,
    workspace: &Workspace,
    service: &Service,
) -> Result<ServiceSpec> {
    let number = |number: &Number| resolve(template, workspace, number);
    Ok(ServiceSpec {
        name: format!("{}/{}", workspace.workspace, service.name),
        key: service.key.clone(),
        slots: service.slots,
        targets: targets(template, workspace, &service.targets)?,
        server_slots: number(&service.server_slots)?,
        server_connections: number(&service.server_connections)?,
        queue_requests: number(&service.queue_requests)?,
        deadline_ms: number(&service.deadline_ms)?,
        checks_orders: service.checks_orders,
        unrepeatable: service.unrepeatable.clone(),
        weights: template.weights,
    })
}

fn resolve(template: &Template, workspace: &Workspace, number: &Number) -> Result<u64> {
    let name = match number {
        Number::Value(value) => return Ok(*value),
        Number::Reference(text) => reference(text).unwrap_or(text),
    };
    let path = format!("parameters.{name}");
    let Some(parameter) = template.parameter(name) else {
        return Err(field(path, "no such parameter", "an integer parameter"));
    };
    let (min, max) = (parameter.min, parameter.max);
    let expected = format!("a whole number from {min} to {max}");
    let value = match (workspace.parameters.get(name), parameter.default) {
        (Some(Value::Integer(value)), _) => *value,
        (Some(Value::Targets(_)), _) => return Err(field(path, "a list", expected)),
        (None, Some(value)) => value,
        (None, None) => return Err(field(path, "no value", expected)),
    };
    if value < min || value > max {
        return Err(field(path, value.to_string(), expected));
    }
    Ok(value)
}

fn targets(template: &Template, workspace: &Workspace, name: &str) -> Result<Vec<Target>> {
    let path = format!("parameters.{name}");
    let Some(parameter) = template.parameter(name) else {
        return Err(field(path, "no such parameter", "a targets parameter"));
    };
    let (min, max) = (parameter.min, parameter.max);
    let expected = format!("a list of {min} to {max} targets");
    let targets = match workspace.parameters.get(name) {
        Some(Value::Targets(targets)) => targets,
        Some(Value::Integer(_)) => return Err(field(path, "a number", expected)),
        None => return Err(field(path, "no value", expected)),
    };
    let count = targets.len() as u64;
    if count < min || count > max {
        let found = format!("{count} targets");
        return Err(field(path, found, expected));
    }
    for (index, target) in targets.iter().enumerate() {
        if targets[..index].iter().any(|t| t.address == target.address) {
            let path = format!("{path}[{index}].address");
            return Err(field(
                path,
                target.address.to_string(),
                "an address named once",
            ));
        }
    }
    Ok(targets.clone())
}
