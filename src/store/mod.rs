//! Client of the platform on which the entry hosts of `ashroad serve` run: its transactional table
//! service, its object store and its list of hosts. The users' platform, on which the hosts of
//! `ashroad entry` run, has another protocol and its adapter is in [`crate::platform`].

mod client;
mod error;
pub mod message;

pub use self::{
    client::Platform,
    error::{Error, Result},
};
