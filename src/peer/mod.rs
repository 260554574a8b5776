//! Messages between entry hosts, over QUIC with mutual TLS.

mod endpoint;
mod error;
pub mod keys;
pub mod message;

pub use self::{
    endpoint::{Inbound, PeerEndpoint},
    error::{Error, Result},
};
