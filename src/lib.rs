//! A router for backend servers that own keys exclusively.
//!
//! The binary is a thin layer over this library: every subcommand builds a configuration struct
//! and passes it to one of the modules below.

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
