//! Errors in templates and workspaces. Each message contains all that the operator who wrote the
//! document needs to correct the error.

use snafu::Snafu;

/// Reason why a template or workspace is rejected; the operator must correct the document.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The document exceeds the size limit.
    #[snafu(display("the document has {bytes} bytes; at most {max} are allowed"))]
    TooLarge {
        /// Size of the document in bytes.
        bytes: usize,
        /// Maximum size of a document in bytes.
        max: usize,
    },
    /// The document contains no text to parse.
    #[snafu(display("the document is empty; expected a template or a workspace"))]
    Empty,
    /// The document is not UTF-8.
    #[snafu(display("the document is not UTF-8 text (first bad byte at {offset})"))]
    NotText {
        /// Offset of the first byte that is not valid UTF-8, counted from 0.
        offset: usize,
    },
    /// The YAML does not match the expected structure.
    #[snafu(display("{message}"))]
    Syntax {
        /// Message of the YAML library, with line and column.
        message: String,
    },
    /// A field has an invalid value.
    #[snafu(display("{path}: {found}; expected {expected}"))]
    Field {
        /// Path of the field from the root of the document.
        path: String,
        /// Value found, worded for the operator.
        found: String,
        /// Values allowed, worded for the operator.
        expected: String,
    },
}

/// Result of reading or checking a document.
pub type Result<T> = std::result::Result<T, Error>;

/// Returns an [`Error::Field`] for the field at `path`.
pub fn field(
    path: impl Into<String>,
    found: impl Into<String>,
    expected: impl Into<String>,
) -> Error {
    Error::Field {
        path: path.into(),
        found: found.into(),
        expected: expected.into(),
    }
}
