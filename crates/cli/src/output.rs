//! Command errors and the two output formats.

use serde::Serialize;
use thiserror::Error;

/// Error of a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Invalid argument or file.
    #[error("{0}")]
    Usage(String),
    /// No process of the fleet returned a usable response.
    #[error("{0}")]
    Fleet(String),
}

impl CommandError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Fleet(_) => 1,
        }
    }
}

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Plain text, for people.
    Text,
    /// JSON, for programs.
    Json,
}

/// Prints `value` as JSON.
pub fn print_json(value: &impl Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| CommandError::Usage(error.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Prints rows in aligned columns.
pub fn print_columns(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([header[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    line(header.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}
