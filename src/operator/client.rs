//! Client of the operators' API, used by the command line.

use std::net::SocketAddr;

use serde::Serialize;

use super::message::{
    Accepted, AuditPage, DocumentList, Draining, OwnerBody, StatusBody, SubmitBody, WithdrawBody,
};
use crate::transport::{CallError, JsonClient};

/// Timeout of one call to a host in milliseconds. The timeout exceeds the time that the host spends
/// on finding out whether a change took effect, so that the operator gets the result.
const TIMEOUT_MS: u64 = 15_000;

/// Kind of a declaration; each kind has its own paths in the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclarationKind {
    /// Template: services and their routing, with parameters that workspaces set.
    Template,
    /// Workspace: an instance of a template, with values for its parameters.
    Workspace,
}

/// Client of the operators' API of one host.
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
    /// Returns a client that sends `token` with each call. Calls that only read need no token.
    pub fn new(address: SocketAddr, token: Option<String>) -> Self {
        Self {
            address,
            client: JsonClient::new(TIMEOUT_MS).with_token(token),
        }
    }

    /// Submits a declaration, which replaces any declaration of the same kind and name.
    pub async fn submit(
        &self,
        kind: DeclarationKind,
        body: &SubmitBody,
    ) -> Result<Accepted, CallError> {
        self.post(&kind.path("/submit"), body).await
    }

    /// Withdraws the declaration with the given name.
    pub async fn withdraw(
        &self,
        kind: DeclarationKind,
        body: &WithdrawBody,
    ) -> Result<Accepted, CallError> {
        self.post(&kind.path("/withdraw"), body).await
    }

    /// Returns the declarations in force of one kind, sorted by name.
    pub async fn list(&self, kind: DeclarationKind) -> Result<DocumentList, CallError> {
        self.client.get(self.address, &kind.path("")).await
    }

    /// Begins the planned stop of the host whose operators' API this client calls.
    pub async fn drain_host(&self) -> Result<Draining, CallError> {
        self.client.post(self.address, "/v1/host/drain", &()).await
    }

    /// Reads the state of the system as the called host sees it. The view of the called host may
    /// lag behind the views of other hosts.
    pub async fn status(&self) -> Result<StatusBody, CallError> {
        self.client.get(self.address, "/v1/status").await
    }

    /// Reads the slot of a key and the server that owns it, as the called host sees it.
    pub async fn owner(&self, service: &str, key: &str) -> Result<OwnerBody, CallError> {
        let path = format!(
            "/v1/owner?service={}&key={}",
            percent_encode(service),
            percent_encode(key)
        );
        self.client.get(self.address, &path).await
    }

    /// Reads a page of the audit trail, which begins with the entry that follows the revision
    /// `after`.
    pub async fn audit(&self, after: u64) -> Result<AuditPage, CallError> {
        let path = format!("/v1/audit?after={after}");
        self.client.get(self.address, &path).await
    }

    async fn post<B: Serialize>(&self, path: &str, body: &B) -> Result<Accepted, CallError> {
        self.client.post(self.address, path, body).await
    }
}

/// Percent-encodes a value for the query part of a URL.
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
