//! The history of a run, as lines of text.

use std::fmt::Display;

/// The lines of a run, in order. The same seed produces the same lines.
#[derive(Clone, Debug, Default)]
pub struct History {
    lines: Vec<String>,
    enabled: bool,
}

impl History {
    /// Creates a history, which discards all lines unless `enabled`.
    pub fn new(enabled: bool) -> Self {
        Self { lines: Vec::new(), enabled }
    }

    /// Appends a line with the time `now`, in milliseconds.
    pub fn note(&mut self, now: u64, who: impl Display, what: impl Display) {
        if self.enabled {
            self.lines.push(format!("{now:>7} {who}: {what}"));
        }
    }

    /// All lines.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }

    /// All lines as one text.
    pub fn text(&self) -> String {
        let mut text = self.lines.join("\n");
        text.push('\n');
        text
    }
}
