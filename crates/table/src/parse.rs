//! Rows as operators write them: JSON objects.

use crate::{FieldError, Row, RowKey, TableName};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Reads `table` and `name` as operators write them.
pub fn parse_key(table: &str, name: &str) -> Result<RowKey, FieldError> {
    let known = TableName::parse(table).ok_or_else(|| FieldError {
        key: format!("{table}/{name}"),
        field: "table".into(),
        found: format!("`{table}`"),
        allowed: TableName::ALL.map(TableName::as_str).join(", "),
    })?;
    Ok(known.key(name))
}

/// Reads the content of the row `key`. The error names the field.
pub fn parse_row(key: &RowKey, value: Value) -> Result<Row, FieldError> {
    match key {
        RowKey::Zone(_) => typed(key, value).map(Row::Zone),
        RowKey::Machine(_) => typed(key, value).map(Row::Machine),
        RowKey::Service(_) => typed(key, value).map(Row::Service),
        RowKey::BackEnd(_) => typed(key, value).map(Row::BackEnd),
        RowKey::Route(_) => typed(key, value).map(Row::Route),
        RowKey::Budget(_) => typed(key, value).map(Row::Budget),
        RowKey::Tenant(_) => typed(key, value).map(Row::Tenant),
        RowKey::Policy => typed(key, value).map(Row::Policy),
        RowKey::Account(_) | RowKey::Issue(_) | RowKey::KeySlots(_) => Err(FieldError {
            key: key.to_string(),
            field: "table".into(),
            found: "a row of the control plane".into(),
            allowed: "a row that operators edit".into(),
        }),
    }
}

fn typed<T: DeserializeOwned>(key: &RowKey, value: Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value).map_err(|error| FieldError {
        key: key.to_string(),
        field: error.path().to_string(),
        found: error.inner().to_string(),
        allowed: "a field of this table with a value of its type".into(),
    })
}

/// The content of a row as operators see it.
pub fn row_to_json(row: &Row) -> Value {
    let tagged = serde_json::to_value(row).unwrap_or(Value::Null);
    match tagged {
        Value::Object(map) => map.into_iter().next().map(|(_, inner)| inner).unwrap_or(Value::Null),
        other => other,
    }
}
