//! Findings about the YAML structure: size, syntax, nesting, aliases and keys.

use crate::{
    finding::{
        Finding,
        Severity, //
    },
    index::Position,
    limits::{
        MAX_DEPTH,
        MAX_EXPANDED_BYTES,
        MAX_KEYS,
        MAX_NODES,
        MAX_TEXT_BYTES, //
    },
    place::for_display, //
};

/// Position of findings about the whole text.
const START: Position = Position { line: 1, column: 1 };

/// Returns a finding if the text is longer than [`MAX_TEXT_BYTES`].
pub(crate) fn text_size(text: &str) -> Option<Finding> {
    let bytes = text.len();
    (bytes > MAX_TEXT_BYTES).then(|| {
        let problem =
            format!("the text has {bytes} bytes, but at most {MAX_TEXT_BYTES} can be stored");
        let fix = "shorten it, starting with comments and repeated values";
        finding("text-size", START, "", problem, fix)
    })
}

/// Returns the finding for a text without any value.
pub(crate) fn empty() -> Finding {
    let problem = "the text is empty, which would remove every team, service and queue";
    finding(
        "empty-text",
        START,
        "",
        problem.into(),
        "write the fleet's keys",
    )
}

/// Returns the finding for a text that is not YAML.
pub(crate) fn syntax(at: Position, reason: &str) -> Finding {
    let problem = format!("the text is not valid YAML: {reason}");
    let fix = "correct the indentation, quotes or brackets here or just before";
    finding("syntax", at, "", problem, fix)
}

/// Returns the finding for a text with more than one YAML document.
pub(crate) fn second_document(at: Position) -> Finding {
    let problem = "a second YAML document starts here";
    let fix = "keep one document and remove the line `---`";
    finding("documents", at, "", problem.into(), fix)
}

/// Returns the finding for nesting deeper than [`MAX_DEPTH`].
pub(crate) fn too_deep(at: Position, path: &str) -> Finding {
    let problem = format!("lists and keys are nested more than {MAX_DEPTH} levels deep");
    finding(
        "nesting",
        at,
        path,
        problem,
        "remove levels; the schema has 5",
    )
}

/// Returns the finding for a mapping with more than [`MAX_KEYS`] keys.
pub(crate) fn too_many_keys(at: Position, path: &str) -> Finding {
    let problem = format!("one mapping has more than {MAX_KEYS} keys");
    let fix = "write several entries as a list, each starting with `- `";
    finding("key-count", at, path, problem, fix)
}

/// Returns the finding for a text that is too large after alias expansion.
pub(crate) fn too_large(at: Position, path: &str) -> Finding {
    let problem = format!(
        "with aliases expanded, the text has more than {MAX_NODES} values \
         or {MAX_EXPANDED_BYTES} bytes"
    );
    finding(
        "expansion",
        at,
        path,
        problem,
        "write out the values in place of the aliases",
    )
}

/// Returns the finding for an alias inside the value of its own anchor.
pub(crate) fn alias_of_itself(at: Position, path: &str) -> Finding {
    let problem = "the alias refers to a value that contains it";
    finding("expansion", at, path, problem.into(), "write out the value")
}

/// Returns the finding for a key that is not a scalar without an anchor.
pub(crate) fn key_kind(at: Position, path: &str) -> Finding {
    let problem = "the key is a list, a mapping or an alias, or has an anchor";
    finding(
        "key-kind",
        at,
        path,
        problem.into(),
        "write the key as a plain word",
    )
}

/// Returns the finding for a key that occurs twice in a mapping.
pub(crate) fn duplicate_key(at: Position, path: &str, key: &str, first: Position) -> Finding {
    let key = for_display(key);
    let separator = if path.is_empty() { "" } else { "." };
    let path = format!("{path}{separator}{key}");
    let problem = format!(
        "the key `{key}` is already defined at {}:{}",
        first.line, first.column
    );
    finding("duplicate-key", at, &path, problem, "remove one of the two")
}

/// Creates an error at a position.
pub(crate) fn finding(
    rule: &'static str,
    at: Position,
    path: &str,
    problem: String,
    fix: impl Into<String>,
) -> Finding {
    Finding {
        rule,
        severity: Severity::Error,
        line: at.line,
        column: at.column,
        path: path.into(),
        problem,
        fix: fix.into(),
    }
}
