//! Reads, checks and expands templates and workspaces, which are YAML documents written by
//! operators.

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

/// Maximum size of a document in bytes. A larger document is refused before it is parsed.
pub const DOCUMENT_BYTES_MAX: usize = 1024 * 1024;
