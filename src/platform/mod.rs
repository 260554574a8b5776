//! Adapter to the users' platform: its store, its configuration documents, its server entries,
//! its orders to servers and its header names. It translates and decides nothing; no name of the
//! platform's protocol is used outside this folder.

pub mod config;
mod duration;
pub mod error;
pub mod headers;
pub mod link;
pub mod orders;
pub mod servers;
pub mod store;
mod wire;

pub use self::{
    duration::parse_ms,
    error::{Error, Result},
    link::Link,
};
