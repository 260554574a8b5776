//! Workspaces, the tenants on whose behalf callers send requests, and the API keys that
//! authenticate callers.

use std::{collections::HashMap, fmt, sync::Arc, sync::LazyLock};

use ring::{hmac, rand::SystemRandom};

use super::{decide::quota::Quota, tag::tag_of};

/// Index of a workspace in its configuration; valid only for that configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkspaceKey(usize);

/// Priority, quota and regions of a workspace, from the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name from the configuration, by which operators and servers know the workspace.
    pub name: Arc<str>,
    /// Tag that identifies the workspace in messages between hosts: a hash of its name.
    pub tag: u32,
    /// Priority of the workspace's requests, which takes precedence over the priorities of their
    /// routes; 0 is the highest.
    pub priority: u32,
    /// Rate limit of the workspace's requests at all hosts together; `None` if the workspace is
    /// unlimited.
    pub quota: Option<Quota>,
    /// Regions where the workspace's requests may be served; empty if all regions may serve them.
    pub regions: Vec<Arc<str>>,
}

impl Workspace {
    /// Creates a workspace without a quota that may be served in all regions.
    pub fn new(name: &str, priority: u32) -> Self {
        Self {
            name: name.into(),
            tag: tag_of(name),
            priority,
            quota: None,
            regions: Vec::new(),
        }
    }
}

/// Keyed digest (HMAC) of an API key, which this process keeps instead of the API key. The digest
/// reveals nothing about the API key without the HMAC key, which only this process has.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest([u8; 32]);

/// HMAC key of the digests, generated at the start of this process.
static DIGEST_KEY: LazyLock<hmac::Key> = LazyLock::new(|| {
    let generated = hmac::Key::generate(hmac::HMAC_SHA256, &SystemRandom::new());
    generated.expect("the system has random numbers")
});

impl ApiKeyDigest {
    /// Computes the digest of an API key.
    pub fn of(api_key: &str) -> Self {
        let tag = hmac::sign(&DIGEST_KEY, api_key.as_bytes());
        let mut digest = [0; 32];
        digest.copy_from_slice(tag.as_ref());
        Self(digest)
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKeyDigest")
    }
}

/// Workspaces of one configuration, found by API key or tag.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    workspaces: Vec<Workspace>,
    api_keys: HashMap<ApiKeyDigest, WorkspaceKey>,
    by_tag: HashMap<u32, WorkspaceKey>,
}

impl Workspaces {
    /// Adds a workspace with the digests of its callers' API keys, under the next free index.
    pub fn add(&mut self, workspace: Workspace, api_keys: impl Iterator<Item = ApiKeyDigest>) {
        let key = WorkspaceKey(self.workspaces.len());
        self.by_tag.insert(workspace.tag, key);
        self.workspaces.push(workspace);
        self.api_keys.extend(api_keys.map(|api_key| (api_key, key)));
    }

    /// Returns the index of the workspace that an API key belongs to; `None` for an unknown API
    /// key.
    pub fn by_api_key(&self, api_key: &str) -> Option<WorkspaceKey> {
        self.api_keys.get(&ApiKeyDigest::of(api_key)).copied()
    }

    /// Returns the workspace with an index. The index must come from the same configuration as
    /// these workspaces; panics if the index is too large.
    pub fn get(&self, key: WorkspaceKey) -> &Workspace {
        &self.workspaces[key.0]
    }

    /// Returns a workspace by its tag, as used in messages between hosts; `None` if the
    /// configuration has no such workspace.
    pub fn by_tag(&self, tag: u32) -> Option<&Workspace> {
        let key = self.by_tag.get(&tag)?;
        Some(self.get(*key))
    }

    /// Iterates over the workspaces in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter()
    }
}
