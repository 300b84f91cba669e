//! Rules on the text as YAML: size, syntax, nesting, aliases and keys.

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
    place::shown,
};

/// Position of the whole text.
const START: Position = Position { line: 1, column: 1 };

/// Returns the finding for a text that is too long, or nothing.
pub(crate) fn text_size(text: &str) -> Option<Finding> {
    let bytes = text.len();
    (bytes > MAX_TEXT_BYTES).then(|| {
        let problem = format!("the text has {bytes} bytes, at most {MAX_TEXT_BYTES} are stored");
        let fix = "shorten it, comments and repeated values first";
        finding("text-size", START, "", problem, fix)
    })
}

/// Returns the finding for a text without any key.
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

/// Returns the finding for a second document in the text.
pub(crate) fn second_document(at: Position) -> Finding {
    let problem = "a second YAML document starts here";
    let fix = "keep one document and remove the line `---`";
    finding("documents", at, "", problem.into(), fix)
}

/// Returns the finding for nesting that is too deep.
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

/// Returns the finding for a mapping with too many keys.
pub(crate) fn too_many_keys(at: Position, path: &str) -> Finding {
    let problem = format!("one mapping has more than {MAX_KEYS} keys");
    let fix = "write several entries as a list, each starting with `- `";
    finding("key-count", at, path, problem, fix)
}

/// Returns the finding for a text that is too large with its aliases replaced.
pub(crate) fn too_large(at: Position, path: &str) -> Finding {
    let problem = format!(
        "with aliases replaced, the text has more than {MAX_NODES} values \
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

/// Returns the finding for an alias inside the value that it stands for.
pub(crate) fn alias_of_itself(at: Position, path: &str) -> Finding {
    let problem = "the alias stands inside the value that it stands for";
    finding("expansion", at, path, problem.into(), "write out the value")
}

/// Returns the finding for a key that is not a plain word.
pub(crate) fn key_kind(at: Position, path: &str) -> Finding {
    let problem = "a key is a list, a mapping, an alias or has an anchor";
    finding(
        "key-kind",
        at,
        path,
        problem.into(),
        "write the key as a plain word",
    )
}

/// Returns the finding for a key that its mapping already has.
pub(crate) fn duplicate_key(at: Position, path: &str, key: &str, first: Position) -> Finding {
    let key = shown(key);
    let separator = if path.is_empty() { "" } else { "." };
    let path = format!("{path}{separator}{key}");
    let problem = format!(
        "the key `{key}` already stands at {}:{}",
        first.line, first.column
    );
    finding("duplicate-key", at, &path, problem, "remove one of the two")
}

/// Returns a finding that refuses the text.
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
