//! Errors in settings files.

use thiserror::Error;

/// The first problem found in a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings: read `{file}`: {source}")]
    Read {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[error("settings: {file}:{line}: not JSON: {reason}")]
    Syntax {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The parser's error.
        reason: String,
    },
    /// A field is missing, unknown or has an invalid value.
    #[error("settings: {file}:{line}: field `{field}`: {found}; {allowed}")]
    Field {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The field's path.
        field: String,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
}
