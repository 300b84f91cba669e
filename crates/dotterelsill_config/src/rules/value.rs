//! Values of the wrong type.

use serde_saphyr::Error;

use crate::{
    finding::Finding,
    index::Index,
    place::KeyPath,
    suggest::nearest, //
};

/// Returns the finding for a value that the deserializer rejects.
pub(crate) fn check(index: &Index<'_>, path: &KeyPath<'_>, error: &Error) -> Finding {
    let (problem, fix) = describe(error);
    Finding::error("value", index, path, problem, fix)
}

/// Returns the message of a deserializer error without its position.
pub(crate) fn reason(error: &Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}

/// Returns the problem of a value and its fix.
fn describe(error: &Error) -> (String, String) {
    match error {
        Error::InvalidScalar { ty: "u32", .. } => (
            "the value is not a whole number from 0 to 4,294,967,295".into(),
            "write a whole number without unit, sign or fraction".into(),
        ),
        Error::InvalidBooleanStrict { .. } => (
            "the value is neither `true` nor `false`".into(),
            "write `true` or `false`".into(),
        ),
        Error::NullIntoString { .. } => (
            "the value is empty".into(),
            "write a value, or remove the key".into(),
        ),
        Error::SerdeUnknownVariant {
            variant, expected, ..
        } => unknown_variant(variant, expected),
        Error::Unexpected { expected, .. } => unexpected(expected),
        error => (
            format!("the value is invalid: {}", reason(error)),
            "write a value of the type that the schema requires".into(),
        ),
    }
}

/// Returns the problem and the fix for an unknown enum value.
fn unknown_variant(word: &str, known: &[&'static str]) -> (String, String) {
    let words = known.join(", ");
    let fix = match nearest(word, known.iter().copied()) {
        Some(suggestion) => format!("write `{suggestion}`"),
        None => format!("write one of {words}"),
    };
    (format!("the value is not one of {words}"), fix)
}

/// Returns the problem and the fix for a value of another type than expected.
fn unexpected(expected: &str) -> (String, String) {
    match expected {
        "sequence start" => (
            "the value is not a list".into(),
            "write one entry per line, each starting with `- `".into(),
        ),
        "mapping start" => (
            "the value is not a mapping of keys to values".into(),
            "write it as `key: value` lines".into(),
        ),
        _ => (
            "the value is a list or mapping where a single value is expected".into(),
            "write a single value".into(),
        ),
    }
}
