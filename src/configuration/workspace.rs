//! Workspace: an instance of a template, with values for the template's parameters.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{
    error::Result,
    template::{check_name, read_document},
};

/// Workspace as parsed from the YAML document of an operator. [`super::expand`] checks the values
/// of the parameters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace. The name is unique among workspaces and is part of the paths that
    /// callers request.
    pub workspace: String,
    /// Name of the template that the workspace instantiates.
    pub template: String,
    /// Values of the template's parameters, by parameter name. A parameter that has a default may
    /// be left out.
    #[serde(default)]
    pub parameters: BTreeMap<String, Value>,
}

/// Value that a workspace gives to a parameter of its template. The value must match the type and
/// the bounds of the parameter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// Value of a parameter of the type `integer`, such as a queue length.
    Integer(u64),
    /// Backend servers of a parameter of the type `targets`, in the order of the document.
    Targets(Vec<Target>),
}

/// Backend server that a workspace lists, with the availability zone in which the server runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// IP address and port of the server. Host names are not accepted.
    pub address: SocketAddr,
    /// Availability zone in which the server runs, as declared by the operator.
    pub availability_zone: String,
}

impl Workspace {
    /// Parses a workspace and checks its name. [`super::expand`] checks the values of the workspace
    /// against the parameters of the template.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        let workspace: Self = read_document(bytes)?;
        check_name("workspace", &workspace.workspace)?;
        Ok(workspace)
    }
}
