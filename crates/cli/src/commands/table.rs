//! `table`: shows, edits, imports and exports rows.

use super::Context;
use super::edit::{RowChange, apply_change, describe_outcome};
use super::file::{FileRow, RowFile};
use crate::arguments::text;
use crate::output::{CommandError, OutputFormat, print_columns, print_json};
use clap::ArgMatches;
use serde_json::Value;
use stackpost_control::views::{EditView, RowView};
use stackpost_types::Version;
use std::path::PathBuf;
use std::process::ExitCode;

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    match matches.subcommand() {
        Some(("show", inner)) => show(context, inner).await,
        Some(("set", inner)) => set(context, inner).await,
        Some(("delete", inner)) => delete(context, inner).await,
        Some(("import", inner)) => import(context, inner).await,
        Some(("diff", inner)) => diff(context, inner).await,
        Some(("export", inner)) => export(context, text(inner, "format")).await,
        _ => Err(CommandError::Usage("no such command of `table`".into())),
    }
}

async fn rows(context: &Context) -> Result<Vec<RowView>, CommandError> {
    context.fleet.get_from_any("/v1/table").await
}

async fn row(context: &Context, table: &str, name: &str) -> Result<Option<RowView>, CommandError> {
    let all = rows(context).await?;
    Ok(all.into_iter().find(|row| row.table == table && row.name == name))
}

async fn show(context: &Context, matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let argument = |name: &str| matches.get_one::<String>(name).cloned();
    let (table, name) = (argument("table"), argument("name"));
    let mut found = rows(context).await?;
    found.retain(|row| table.as_ref().is_none_or(|table| row.table == *table));
    found.retain(|row| name.as_ref().is_none_or(|name| row.name == *name));
    if context.output_format == OutputFormat::Json {
        print_json(&found)?;
    } else {
        let lines: Vec<Vec<String>> = found
            .iter()
            .map(|row| {
                let content = row.row.to_string();
                vec![row.table.clone(), row.name.clone(), row.version.to_string(), content]
            })
            .collect();
        print_columns(&["table", "name", "version", "row"], &lines);
    }
    Ok(ExitCode::SUCCESS)
}

async fn set(context: &Context, matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (table, name) = (text(matches, "table"), text(matches, "name"));
    let current = row(context, table, name).await?;
    let mut content = match &current {
        Some(row) => row.row.clone(),
        None => Value::Object(Default::default()),
    };
    for field in matches.get_many::<String>("fields").into_iter().flatten() {
        let (field, value) = field
            .split_once('=')
            .ok_or_else(|| CommandError::Usage(format!("`{field}`: allowed: FIELD=VALUE")))?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        content[field] = value;
    }
    let newest = current.map(|row| row.version).unwrap_or_default();
    let based_on = matches.get_one::<u64>("based-on").map_or(newest, |version| Version(*version));
    let change = RowChange { table: table.into(), name: name.into(), based_on, row: content };
    apply_change(context, change, !matches.get_flag("no-wait")).await
}

async fn delete(context: &Context, matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let (table, name) = (text(matches, "table"), text(matches, "name"));
    let current = row(context, table, name).await?;
    let Some(current) = current else {
        return Err(CommandError::Usage(format!("there is no {table}/{name}")));
    };
    let change = RowChange {
        table: table.into(),
        name: name.into(),
        based_on: current.version,
        row: Value::Null,
    };
    apply_change(context, change, !matches.get_flag("no-wait")).await
}

/// Rows of the file that differ from the table, each with the current row of the table.
async fn changed_rows(
    context: &Context,
    matches: &ArgMatches,
) -> Result<Vec<(FileRow, Option<RowView>)>, CommandError> {
    let path = matches.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let file = RowFile::read(&path)?;
    let current_rows = rows(context).await?;
    let pairs = file.0.into_iter().map(|entry| {
        let current =
            current_rows.iter().find(|row| row.table == entry.table && row.name == entry.name);
        (entry, current.cloned())
    });
    let differs = |(entry, current): &(FileRow, Option<RowView>)| {
        current.as_ref().is_none_or(|row| row.row != entry.row)
    };
    Ok(pairs.filter(differs).collect())
}

async fn import(context: &Context, matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let changes = changed_rows(context, matches).await?;
    let total = changes.len();
    let mut refused = 0;
    for (entry, current) in changes {
        let label = format!("{}/{}", entry.table, entry.name);
        let based_on = current.map(|row| row.version).unwrap_or_default();
        let change = RowChange { table: entry.table, name: entry.name, based_on, row: entry.row };
        let view = context.fleet.edit(&change.into_request()).await?;
        if !matches!(view, EditView::Accepted { .. }) {
            refused += 1;
            eprintln!("{}", describe_outcome(&label, &view));
        }
    }
    println!("{} rows written, {refused} refused", total - refused);
    Ok(if refused == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn diff(context: &Context, matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    for (entry, current) in changed_rows(context, matches).await? {
        let label = format!("{}/{}", entry.table, entry.name);
        match current {
            Some(row) => println!("~ {label}\n  - {}\n  + {}", row.row, entry.row),
            None => println!("+ {label}\n  + {}", entry.row),
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn export(context: &Context, format: &str) -> Result<ExitCode, CommandError> {
    let all = rows(context).await?;
    if format == "json" {
        let entries: Vec<FileRow> = all
            .into_iter()
            .map(|row| FileRow { table: row.table, name: row.name, row: row.row })
            .collect();
        print_json(&entries)?;
        return Ok(ExitCode::SUCCESS);
    }
    let mut writer = csv::Writer::from_writer(std::io::stdout());
    let failed = |error: csv::Error| CommandError::Usage(format!("write: {error}"));
    writer.write_record(["table", "name", "version", "field", "value"]).map_err(failed)?;
    for row in all {
        for (field, value) in row.row.as_object().into_iter().flatten() {
            let version = row.version.to_string();
            let cells = [&row.table, &row.name, &version, field, &value.to_string()];
            writer.write_record(cells).map_err(failed)?;
        }
    }
    writer.flush().map_err(|error| CommandError::Usage(format!("write: {error}")))?;
    Ok(ExitCode::SUCCESS)
}
