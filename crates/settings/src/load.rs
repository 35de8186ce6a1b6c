//! Parsing and validation of settings files, with the line of a problem.

use crate::error::SettingsError;
use jsonc_parser::ast::Value as Node;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Largest edit distance at which a known field is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 4;

/// A field whose value violates a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field, such as `machines[2].router.api`.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl Problem {
    /// Creates a problem from its parts.
    pub fn new(
        field: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self { field: field.into(), found: found.into(), allowed: allowed.into() }
    }
}

/// Settings with rules beyond those that the types of their fields express.
pub trait Validate {
    /// Checks the rules and returns the first problem.
    fn check(&self) -> Result<(), Problem>;
}

/// Reads and checks a settings file.
pub fn load<T: DeserializeOwned + Validate>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { file: file.clone(), source })?;
    parse(&file, &text)
}

/// Parses and checks settings from `text`. Errors name `file` as their source.
pub fn parse<T: DeserializeOwned + Validate>(file: &str, text: &str) -> Result<T, SettingsError> {
    let value = parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| SettingsError::Syntax {
            file: file.to_string(),
            line: line_of(text, error.range().start),
            reason: error.kind().to_string(),
        })?
        .unwrap_or(serde_json::Value::Null);
    let problem = match serde_path_to_error::deserialize::<_, T>(value) {
        Ok(settings) => match settings.check() {
            Ok(()) => return Ok(settings),
            Err(problem) => problem,
        },
        Err(error) => problem_from_serde(&error),
    };
    Err(SettingsError::Field {
        file: file.to_string(),
        line: line_of_field(text, &problem.field),
        field: problem.field,
        found: problem.found,
        allowed: problem.allowed,
    })
}

/// Converts an error of serde to a problem. For an unknown field, the nearest known one is
/// suggested.
fn problem_from_serde(error: &serde_path_to_error::Error<serde_json::Error>) -> Problem {
    let field = error.path().to_string();
    let message = error.inner().to_string();
    let names = backquoted_texts(&message);
    if message.starts_with("unknown field") || message.starts_with("unknown variant") {
        let unknown = names.first().cloned().unwrap_or_default();
        let nearest = names[1..]
            .iter()
            .map(|name| (strsim::levenshtein(&unknown, name), name))
            .min()
            .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE);
        let hint = nearest.map(|(_, name)| format!("did you mean `{name}`? ")).unwrap_or_default();
        let allowed = format!("{hint}allowed: {}", names[1..].join(", "));
        return Problem::new(field, format!("found `{unknown}`"), allowed);
    }
    if message.starts_with("missing field") {
        let missing = names.first().cloned().unwrap_or_default();
        let allowed = format!("add `{missing}` to `{field}`");
        return Problem::new(field, format!("`{missing}` is missing"), allowed);
    }
    Problem::new(field, message, "see docs/SETTINGS.md for what is allowed")
}

/// The texts between pairs of backquotes.
fn backquoted_texts(message: &str) -> Vec<String> {
    message.split('`').skip(1).step_by(2).map(str::to_string).collect()
}

fn line_of(text: &str, position: usize) -> usize {
    text.bytes().take(position).filter(|byte| *byte == b'\n').count() + 1
}

/// The line at which `field` begins, or its nearest ancestor that exists.
fn line_of_field(text: &str, field: &str) -> usize {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let Some(root) = parsed.ok().and_then(|result| result.value) else {
        return 1;
    };
    let mut node = root;
    let mut start = node.range().start;
    for segment in path_segments(field) {
        let child = match (node, segment) {
            (Node::Object(object), PathSegment::Name(name)) => object
                .properties
                .into_iter()
                .find(|property| property.name.as_str() == name)
                .map(|property| (property.range.start, property.value)),
            (Node::Array(array), PathSegment::Index(index)) => array
                .elements
                .into_iter()
                .nth(index)
                .map(|element| (element.range().start, element)),
            _ => None,
        };
        let Some((at, value)) = child else { break };
        start = at;
        node = value;
    }
    line_of(text, start)
}

enum PathSegment {
    Name(String),
    Index(usize),
}

/// Splits a path such as `a[1].b` into its segments.
fn path_segments(field: &str) -> Vec<PathSegment> {
    let mut segments = Vec::new();
    for part in field.split('.') {
        let mut pieces = part.split('[');
        if let Some(name) = pieces.next().filter(|name| !name.is_empty()) {
            segments.push(PathSegment::Name(name.to_string()));
        }
        for index in pieces {
            if let Ok(index) = index.trim_end_matches(']').parse() {
                segments.push(PathSegment::Index(index));
            }
        }
    }
    segments
}
