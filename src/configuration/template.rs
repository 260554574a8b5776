//! Template of workspaces: services and their routing, with parameters that each workspace sets.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::ensure;

use super::{
    DOCUMENT_BYTES_MAX,
    error::{EmptySnafu, Error, FieldSnafu, Result, TooLargeSnafu, field},
};

/// Maximum number of slots of one service. The maximum bounds the size of the replicated state.
pub const SLOTS_MAX: u32 = 1_000_000;
/// Maximum length in characters of the name of a template, service or workspace.
const NAME_CHARS_MAX: usize = 63;

/// Template as parsed from the YAML document of an operator. [`Template::problems`] checks the
/// values in the template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name by which workspaces refer to the template; unique among templates.
    pub template: String,
    /// Parameters that a workspace sets. A workspace must set each parameter that has no default.
    #[serde(default)]
    pub parameters: Vec<Parameter>,
    /// Weights of the planner's cost function; the defaults apply if the template has none.
    #[serde(default)]
    pub weights: Weights,
    /// Services that each workspace of the template gets.
    pub services: Vec<Service>,
}

/// Declaration of a parameter: its type, bounds and default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// Name by which services refer to the parameter.
    pub name: String,
    /// Type that the values of workspaces must have.
    #[serde(rename = "type")]
    pub kind: ParameterKind,
    /// Minimum value of an integer parameter, or minimum number of servers of a targets parameter.
    #[serde(default = "one")]
    pub min: u64,
    /// Maximum value of an integer parameter, or maximum number of servers of a targets parameter.
    pub max: u64,
    /// Value of an integer parameter in a workspace that does not set the parameter. A default of a
    /// targets parameter has no effect.
    #[serde(default)]
    pub default: Option<u64>,
}

/// Type of the values that a parameter accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ParameterKind {
    /// Integer from `min` to `max`, both included.
    Integer,
    /// List of `min` to `max` backend servers.
    Targets,
}

/// Weights of the three terms of the planner's cost function.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Weight of imbalance. To compute the imbalance, the planner divides the load per capacity of
    /// each server by the mean, subtracts one and squares the difference. The imbalance is the sum
    /// of the squares over the servers.
    pub imbalance: f64,
    /// Weight of moves of keys. The unit is a move of as many keys as one server owns on average.
    pub churn: f64,
    /// Weight of one second in which the keys of one server cannot be served.
    pub unavailable: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            imbalance: 1.0,
            churn: 1.0,
            unavailable: 1.0,
        }
    }
}

/// Number, or a reference to an integer parameter, written `${name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Number {
    /// Fixed number, the same in every workspace of the template.
    Value(u64),
    /// Reference to a parameter, with its `${` and `}`.
    Reference(String),
}

/// Service as declared in a template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service. The name is unique in the template and is part of the paths that
    /// callers request.
    pub name: String,
    /// Name of the parameter that lists the backend servers.
    pub targets: String,
    /// Part of a request that contains the key.
    pub key: KeySource,
    /// Number of slots over which the keys of the service are spread. The number cannot change once
    /// a workspace with the service has been declared, because keys would get other slots.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Number of requests that one server runs concurrently. Each host has at most this number of
    /// requests in flight to the server.
    pub server_slots: Number,
    /// Maximum number of connections to one server, over all entry hosts. The value is checked and
    /// expanded, but no host enforces it.
    pub server_connections: Number,
    /// Maximum number of requests of the service in flight in one entry host, including requests
    /// that wait. The host refuses further requests.
    #[serde(default = "default_queue")]
    pub queue_requests: Number,
    /// Time in milliseconds that a request may take if its caller sets no deadline.
    #[serde(default = "default_deadline")]
    pub deadline_ms: Number,
    /// False if the servers accept orders (commands by which a host makes a server renew its lease,
    /// hold keys or release keys) from any sender, however old the orders are. A template with the
    /// value false is rejected, because such servers are not supported.
    #[serde(default = "yes")]
    pub checks_orders: bool,
    /// Rules for requests that must run at most once.
    #[serde(default)]
    pub unrepeatable: Vec<UnrepeatableRule>,
}

/// Part of a request that contains the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// Segment of the path after the service, counted from 0.
    Path(usize),
    /// Value of the request header with this name.
    Header(String),
}

/// Rule that marks the matching requests as unrepeatable: they must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnrepeatableRule {
    /// HTTP method that a request must have for the rule to apply.
    pub method: String,
    /// Prefix that the path after the service must have for the rule to apply. An empty prefix
    /// matches all paths.
    #[serde(default)]
    pub path_prefix: String,
}

fn one() -> u64 {
    1
}

fn yes() -> bool {
    true
}

fn default_slots() -> u32 {
    256
}

fn default_queue() -> Number {
    Number::Value(1_000)
}

fn default_deadline() -> Number {
    Number::Value(5_000)
}

/// Returns the document as text. Fails if the document is too large, empty or not UTF-8.
pub fn check_text(bytes: &[u8]) -> Result<&str> {
    ensure!(
        bytes.len() <= DOCUMENT_BYTES_MAX,
        TooLargeSnafu {
            bytes: bytes.len(),
            max: DOCUMENT_BYTES_MAX
        }
    );
    let text = std::str::from_utf8(bytes).map_err(|error| Error::NotText {
        offset: error.valid_up_to(),
    })?;
    ensure!(!text.trim().is_empty(), EmptySnafu);
    Ok(text)
}

/// Parses a YAML document. Fails if the size, the encoding or the structure of the document is
/// wrong.
pub fn read_document<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let text = check_text(bytes)?;
    serde_saphyr::from_str(text).map_err(|error| Error::Syntax {
        message: error.to_string(),
    })
}

/// Checks a name that becomes part of the paths that callers request. `path` is the place of the
/// name in the document, for the error message.
pub fn check_name(path: &str, name: &str) -> Result<()> {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let is_valid = !name.is_empty() && name.len() <= NAME_CHARS_MAX && name.chars().all(fits);
    ensure!(
        is_valid,
        FieldSnafu {
            path,
            found: format!("{name:?}"),
            expected: "1 to 63 lower-case letters, digits or hyphens",
        }
    );
    Ok(())
}

impl Template {
    /// Parses and checks a template. If there are several errors, returns only the first.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        let template: Self = read_document(bytes)?;
        match template.problems().into_iter().next() {
            Some(problem) => Err(problem),
            None => Ok(template),
        }
    }

    /// Returns all errors in the values of a parsed template. The list is empty if the template is
    /// valid.
    pub fn problems(&self) -> Vec<Error> {
        let mut problems = Vec::new();
        problems.extend(check_name("template", &self.template).err());
        if self.services.is_empty() {
            problems.push(field("services", "an empty list", "at least one service"));
        }
        self.check_weights(&mut problems);
        self.check_parameters(&mut problems);
        for (index, service) in self.services.iter().enumerate() {
            let is_duplicate = self.services[..index]
                .iter()
                .any(|s| s.name == service.name);
            if is_duplicate {
                let path = format!("services[{index}].name");
                problems.push(field(path, service.name.clone(), "a name used once"));
            }
            self.check_service(index, service, &mut problems);
        }
        problems
    }

    fn check_weights(&self, problems: &mut Vec<Error>) {
        let weights = [
            ("imbalance", self.weights.imbalance),
            ("churn", self.weights.churn),
            ("unavailable", self.weights.unavailable),
        ];
        for (name, value) in weights {
            if !value.is_finite() || value < 0.0 {
                let path = format!("weights.{name}");
                problems.push(field(path, value.to_string(), "a number of 0 or more"));
            }
        }
    }

    fn check_parameters(&self, problems: &mut Vec<Error>) {
        for (index, parameter) in self.parameters.iter().enumerate() {
            let path = format!("parameters[{index}]");
            let is_duplicate = self.parameters[..index]
                .iter()
                .any(|other| other.name == parameter.name);
            if is_duplicate {
                problems.push(field(&path, parameter.name.clone(), "a name used once"));
            }
            if parameter.min > parameter.max {
                let found = format!("min {} above max {}", parameter.min, parameter.max);
                problems.push(field(&path, found, "min at most max"));
            }
        }
    }

    fn check_service(&self, index: usize, service: &Service, problems: &mut Vec<Error>) {
        let path = |name: &str| format!("services[{index}].{name}");
        problems.extend(check_name(&path("name"), &service.name).err());
        if service.slots == 0 || service.slots > SLOTS_MAX {
            let expected = format!("1 to {SLOTS_MAX}");
            problems.push(field(path("slots"), service.slots.to_string(), expected));
        }
        if !service.checks_orders {
            let expected = "true: servers that accept orders of any sender are not supported yet";
            problems.push(field(path("checks_orders"), "false", expected));
        }
        let target = self.parameter(&service.targets);
        if target.map(|p| p.kind) != Some(ParameterKind::Targets) {
            let expected = "the name of a parameter of type targets";
            problems.push(field(path("targets"), service.targets.clone(), expected));
        }
        let numbers = [
            ("server_slots", &service.server_slots),
            ("server_connections", &service.server_connections),
            ("queue_requests", &service.queue_requests),
            ("deadline_ms", &service.deadline_ms),
        ];
        for (name, number) in numbers {
            problems.extend(self.check_number(&path(name), number).err());
        }
    }

    fn check_number(&self, path: &str, number: &Number) -> Result<()> {
        match number {
            Number::Value(0) => Err(field(path, "0", "1 or more")),
            Number::Value(_) => Ok(()),
            Number::Reference(text) => {
                let name = reference(text);
                let found = name.and_then(|name| self.parameter(name));
                if found.map(|p| p.kind) == Some(ParameterKind::Integer) {
                    return Ok(());
                }
                let expected = "a number, or ${name} of a parameter of type integer";
                Err(field(path, format!("{text:?}"), expected))
            }
        }
    }

    /// Returns the declaration of the parameter `name`; `None` if the template declares no such
    /// parameter.
    pub fn parameter(&self, name: &str) -> Option<&Parameter> {
        self.parameters.iter().find(|p| p.name == name)
    }
}

/// Returns the name in a reference `${name}`; `None` if the text is no reference.
pub fn reference(text: &str) -> Option<&str> {
    text.strip_prefix("${")?.strip_suffix('}')
}
