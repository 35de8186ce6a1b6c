//! Files with table rows.

use crate::output::{CommandError, print_columns};
use clap::ArgMatches;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use stackpost_settings::{Problem, Validate, load};
use stackpost_table::{Row, RowKey, ServiceKind, TableName, parse_key, parse_row};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FileRow {
    pub table: String,
    pub name: String,
    pub row: Value,
}

#[derive(Debug, Deserialize)]
#[serde(transparent)]
pub(crate) struct RowFile(pub Vec<FileRow>);

impl Validate for RowFile {
    fn check(&self) -> Result<(), Problem> {
        for (index, entry) in self.0.iter().enumerate() {
            let problem = |error: stackpost_table::FieldError| {
                let field = match error.field.as_str() {
                    "table" => format!("[{index}].table"),
                    field => format!("[{index}].row.{field}"),
                };
                Problem::new(field, error.found, format!("allowed: {}", error.allowed))
            };
            let key = parse_key(&entry.table, &entry.name).map_err(problem)?;
            parse_row(&key, entry.row.clone()).map_err(problem)?;
        }
        Ok(())
    }
}

impl RowFile {
    /// Reads a file and sorts its rows so that a row follows those that it depends on.
    pub fn read(path: &Path) -> Result<Self, CommandError> {
        let mut file: Self = load(path).map_err(|error| CommandError::Usage(error.to_string()))?;
        let rank = |row: &FileRow| TableName::ALL.iter().position(|t| t.as_str() == row.table);
        file.0.sort_by_key(rank);
        Ok(file)
    }
}

/// Lists the back ends of a file, for scripts that start a stand-in for each.
pub(crate) fn list(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let inner = matches.subcommand_matches("list-file");
    let path = inner.and_then(|inner| inner.get_one::<PathBuf>("file")).cloned();
    let file = RowFile::read(&path.unwrap_or_default())?;
    let mut kinds = BTreeMap::new();
    let mut back_ends = Vec::new();
    for entry in &file.0 {
        let key = parse_key(&entry.table, &entry.name);
        let row = key.as_ref().ok().and_then(|key| parse_row(key, entry.row.clone()).ok());
        match (key, row) {
            (Ok(RowKey::Service(name)), Some(Row::Service(row))) => {
                kinds.insert(name, row.kind);
            }
            (Ok(RowKey::BackEnd(name)), Some(Row::BackEnd(row))) => back_ends.push((name, row)),
            _ => {}
        }
    }
    let rows: Vec<Vec<String>> = back_ends
        .into_iter()
        .map(|(name, row)| {
            let kind = match kinds.get(&row.service) {
                Some(ServiceKind::Model) => "model",
                _ => "plain",
            };
            let fence = if row.checks_fence { "checks-fence" } else { "-" };
            vec![name.to_string(), kind.into(), row.address.to_string(), fence.into()]
        })
        .collect();
    print_columns(&["back_end", "kind", "address", "fence"], &rows);
    Ok(ExitCode::SUCCESS)
}
