//! Client of the operators' API, for the command line.

use std::net::SocketAddr;

use serde::Serialize;

use super::message::{
    Accepted, AuditPage, DocumentList, Draining, OwnerBody, StatusBody, SubmitBody, WithdrawBody,
};
use crate::transport::{CallError, JsonClient};

const TIMEOUT_MS: u64 = 15_000;

/// Kind of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclarationKind {
    /// A template.
    Template,
    /// A workspace.
    Workspace,
}

/// Client of one host's API.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: SocketAddr,
    client: JsonClient,
}

impl DeclarationKind {
    fn path(self, action: &str) -> String {
        match self {
            Self::Template => format!("/v1/templates{action}"),
            Self::Workspace => format!("/v1/workspaces{action}"),
        }
    }
}

impl OperatorClient {
    /// A client that sends `token` with each call.
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self {
            address,
            client: JsonClient::new(TIMEOUT_MS).with_token(token),
        }
    }

    /// Submits or amends a declaration.
    pub async fn submit(
        &self,
        kind: DeclarationKind,
        body: &SubmitBody,
    ) -> Result<Accepted, CallError> {
        self.post(&kind.path("/submit"), body).await
    }

    /// Withdraws a declaration.
    pub async fn withdraw(
        &self,
        kind: DeclarationKind,
        body: &WithdrawBody,
    ) -> Result<Accepted, CallError> {
        self.post(&kind.path("/withdraw"), body).await
    }

    /// Declarations in force.
    pub async fn list(&self, kind: DeclarationKind) -> Result<DocumentList, CallError> {
        self.client.get(self.address, &kind.path("")).await
    }

    /// Begins the planned stop of the host that this client talks to.
    pub async fn drain_host(&self) -> Result<Draining, CallError> {
        self.client.post(self.address, "/v1/host/drain", &()).await
    }

    /// State of the system.
    pub async fn status(&self) -> Result<StatusBody, CallError> {
        self.client.get(self.address, "/v1/status").await
    }

    /// Owner of a key.
    pub async fn owner(&self, service: &str, key: &str) -> Result<OwnerBody, CallError> {
        let path = format!(
            "/v1/owner?service={}&key={}",
            percent_encode(service),
            percent_encode(key)
        );
        self.client.get(self.address, &path).await
    }

    /// Entries of the audit trail after a revision.
    pub async fn audit(&self, after: u64) -> Result<AuditPage, CallError> {
        let path = format!("/v1/audit?after={after}");
        self.client.get(self.address, &path).await
    }

    async fn post<B: Serialize>(&self, path: &str, body: &B) -> Result<Accepted, CallError> {
        self.client.post(self.address, path, body).await
    }
}

/// Escapes a value for a query.
fn percent_encode(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(byte.into());
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
