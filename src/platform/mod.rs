//! Adapter to the users' platform. The module contains the client of the platform's store, the
//! decoding of configuration documents and server entries, the commands to backend servers, and the
//! names of headers. The adapter only translates and takes no decisions; names of the platform's
//! protocol are used only in this module.

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
