//! A value of the wrong kind.

use serde_saphyr::Error;

use crate::{
    finding::Finding,
    index::Index,
    place::Place,
    suggest::nearest, //
};

/// Returns the finding for a value that the deserializer refuses.
pub(crate) fn check(index: &Index<'_>, place: &Place<'_>, error: &Error) -> Finding {
    let (problem, fix) = describe(error);
    Finding::error("value", index, place, problem, fix)
}

/// Returns the deserializer's reason without its position.
pub(crate) fn reason(error: &Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}

/// Returns what is wrong with a value and how to fix it.
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
        } => unknown_word(variant, expected),
        Error::Unexpected { expected, .. } => unexpected(expected),
        error => (
            format!("the value is refused: {}", reason(error)),
            "write a value of the kind that the schema has".into(),
        ),
    }
}

/// Returns the description of a word that is none of those known.
fn unknown_word(word: &str, known: &[&'static str]) -> (String, String) {
    let words = known.join(", ");
    let fix = match nearest(word, known.iter().copied()) {
        Some(near) => format!("write `{near}`"),
        None => format!("write one of {words}"),
    };
    (format!("the value is none of {words}"), fix)
}

/// Returns the description of a value of another kind than the schema has.
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
            "the value is a list or mapping where a single value belongs".into(),
            "write a single value".into(),
        ),
    }
}
