//! Conversion between rows and the JSON objects that operators use.

use crate::{FieldError, Row, RowKey, TableName};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Parses the key of a row from its table and name.
pub fn parse_key(table: &str, name: &str) -> Result<RowKey, FieldError> {
    let table_name = TableName::parse(table).ok_or_else(|| FieldError {
        key: format!("{table}/{name}"),
        field: "table".into(),
        found: format!("`{table}`"),
        allowed: TableName::ALL.map(TableName::as_str).join(", "),
    })?;
    Ok(table_name.key(name))
}

/// Parses the content of the row `key`. The error names the invalid field.
pub fn parse_row(key: &RowKey, value: Value) -> Result<Row, FieldError> {
    match key {
        RowKey::Zone(_) => parse_as(key, value).map(Row::Zone),
        RowKey::Machine(_) => parse_as(key, value).map(Row::Machine),
        RowKey::Service(_) => parse_as(key, value).map(Row::Service),
        RowKey::BackEnd(_) => parse_as(key, value).map(Row::BackEnd),
        RowKey::Route(_) => parse_as(key, value).map(Row::Route),
        RowKey::Budget(_) => parse_as(key, value).map(Row::Budget),
        RowKey::Tenant(_) => parse_as(key, value).map(Row::Tenant),
        RowKey::Policy => parse_as(key, value).map(Row::Policy),
        RowKey::Account(_) | RowKey::Issue(_) | RowKey::KeySlots(_) => Err(FieldError {
            key: key.to_string(),
            field: "table".into(),
            found: "a row of the control plane".into(),
            allowed: "a row that operators edit".into(),
        }),
    }
}

fn parse_as<T: DeserializeOwned>(key: &RowKey, value: Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| FieldError {
        key: key.to_string(),
        field: error.path().to_string(),
        found: error.inner().to_string(),
        allowed: "a field of this table with a value of its type".into(),
    })
}

/// Converts the content of a row to JSON.
pub fn row_to_json(row: &Row) -> Value {
    let tagged = serde_json::to_value(row).unwrap_or(Value::Null);
    match tagged {
        Value::Object(map) => map.into_iter().next().map(|(_, inner)| inner).unwrap_or(Value::Null),
        other => other,
    }
}
