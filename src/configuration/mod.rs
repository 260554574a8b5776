//! Templates and workspaces: what operators declare, checked and expanded.

mod error;
pub mod expand;
pub mod template;
pub mod workspace;

pub use self::{
    error::{Error, Result},
    expand::{ServiceSpec, expand},
    template::Template,
    workspace::Workspace,
};

/// Largest declaration that is read.
pub const DOCUMENT_BYTES_MAX: usize = 1024 * 1024;
