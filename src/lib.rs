//! A request router for backend servers, each of which exclusively owns the keys assigned to it.

pub mod bench;
pub mod claims;
pub mod clock;
pub mod configuration;
pub mod demo;
pub mod entry;
pub mod host;
pub mod id;
pub mod load;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod ownership;
pub mod peer;
pub mod platform;
pub mod routing;
pub mod settings;
pub mod standin;
pub mod state;
pub mod store;
pub mod transport;
