//! Errors of declarations; each reads as a sentence to the operator who wrote the file.

use snafu::Snafu;

/// What is wrong with a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The file is larger than allowed.
    #[snafu(display("the document has {bytes} bytes; at most {max} are allowed"))]
    TooLarge {
        /// Size.
        bytes: usize,
        /// Limit.
        max: usize,
    },
    /// The file is empty.
    #[snafu(display("the document is empty; expected a template or a workspace"))]
    Empty,
    /// The file is not UTF-8.
    #[snafu(display("the document is not UTF-8 text (first bad byte at {offset})"))]
    NotText {
        /// Offset of the first bad byte.
        offset: usize,
    },
    /// The YAML cannot be read as the expected document.
    #[snafu(display("{message}"))]
    Syntax {
        /// The library's message, with line and column.
        message: String,
    },
    /// A field has a value that cannot work.
    #[snafu(display("{path}: {found}; expected {expected}"))]
    Field {
        /// Path of the field.
        path: String,
        /// What was found.
        found: String,
        /// What was expected.
        expected: String,
    },
}

/// Result of reading a declaration.
pub type Result<T> = std::result::Result<T, Error>;

/// A [`Error::Field`].
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
