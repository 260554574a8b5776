//! A workspace: a template with its parameters filled in.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{
    error::Result,
    template::{check_name, read_document},
};

/// A workspace as written by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name, unique among workspaces; part of callers' paths.
    pub workspace: String,
    /// Template that it fills in.
    pub template: String,
    /// Values of the template's parameters, by name.
    #[serde(default)]
    pub parameters: BTreeMap<String, Value>,
}

/// Value of a parameter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    /// An integer.
    Integer(u64),
    /// Backend servers.
    Targets(Vec<Target>),
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address by number.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: String,
}

impl Workspace {
    /// Reads a workspace; [`super::expand`] checks it against its template.
    pub fn read(bytes: &[u8]) -> Result<Self> {
        let workspace: Self = read_document(bytes)?;
        check_name("workspace", &workspace.workspace)?;
        Ok(workspace)
    }
}
