//! Client of the platform: its transactional table service, its object store and its list of hosts.

mod client;
mod error;
pub mod message;

pub use self::{
    client::Platform,
    error::{Error, Result},
};
