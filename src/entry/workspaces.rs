//! Workspaces: the tenants on whose behalf callers send requests, and the API keys by which callers prove it.

use std::{collections::HashMap, fmt, sync::Arc, sync::LazyLock};

use ring::{hmac, rand::SystemRandom};

use super::{decide::quota::Quota, server::tag_of};

/// Place of a workspace in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkspaceKey(usize);

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Short name in messages between hosts.
    pub tag: u32,
    /// Rank of its requests, which comes before that of their routes; 0 is the most urgent.
    pub priority: u32,
    /// Requests that it may send; `None` for any number.
    pub quota: Option<Quota>,
    /// Regions where it may be served; empty for all.
    pub regions: Vec<Arc<str>>,
}

impl Workspace {
    /// A workspace without quota that may be served everywhere.
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

/// An API key as it is kept: a digest that tells nothing of the key outside of this process.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest([u8; 32]);

/// Secret of this process.
static DIGEST_KEY: LazyLock<hmac::Key> = LazyLock::new(|| {
    let generated = hmac::Key::generate(hmac::HMAC_SHA256, &SystemRandom::new());
    generated.expect("the system has random numbers")
});

impl ApiKeyDigest {
    /// Digest of a key.
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

/// The workspaces of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Workspaces {
    workspaces: Vec<Workspace>,
    api_keys: HashMap<ApiKeyDigest, WorkspaceKey>,
    by_tag: HashMap<u32, WorkspaceKey>,
}

impl Workspaces {
    /// Adds a workspace whose callers have these API keys.
    pub fn add(&mut self, workspace: Workspace, api_keys: impl Iterator<Item = ApiKeyDigest>) {
        let key = WorkspaceKey(self.workspaces.len());
        self.by_tag.insert(workspace.tag, key);
        self.workspaces.push(workspace);
        self.api_keys.extend(api_keys.map(|api_key| (api_key, key)));
    }

    /// The workspace that an API key belongs to.
    pub fn by_api_key(&self, api_key: &str) -> Option<WorkspaceKey> {
        self.api_keys.get(&ApiKeyDigest::of(api_key)).copied()
    }

    /// A workspace.
    pub fn get(&self, key: WorkspaceKey) -> &Workspace {
        &self.workspaces[key.0]
    }

    /// A workspace by its short name.
    pub fn by_tag(&self, tag: u32) -> Option<&Workspace> {
        let key = self.by_tag.get(&tag)?;
        Some(self.get(*key))
    }

    /// All workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter()
    }
}
