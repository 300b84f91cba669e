//! Writes parts of the index as YAML again, for the deserializer.

use crate::index::{
    Content,
    Entry,
    Index,
    NodeId, //
};

/// Appends a node as YAML in flow style.
///
/// The index limits depth and size, so the recursion and the text are bounded.
pub(crate) fn node(index: &Index<'_>, node: NodeId, out: &mut String) {
    match index.content(node) {
        Content::Mapping(entries) => mapping(index, entries, out),
        Content::Scalar(value, plain) => scalar(value, *plain, out),
        Content::Sequence(items) => sequence(index, items, out),
    }
}

/// Appends keys with their values.
pub(crate) fn mapping<'a, 't: 'a>(
    index: &Index<'t>,
    entries: impl IntoIterator<Item = &'a Entry<'t>>,
    out: &mut String,
) {
    out.push('{');
    for (i, entry) in entries.into_iter().enumerate() {
        if i > 0 {
            out.push_str(", ");
        }
        quoted(&entry.key, out);
        out.push_str(": ");
        node(index, entry.value, out);
    }
    out.push('}');
}

/// Appends items.
pub(crate) fn sequence(index: &Index<'_>, items: &[NodeId], out: &mut String) {
    out.push('[');
    for (i, item) in items.iter().enumerate() {
        if i > 0 {
            out.push_str(", ");
        }
        node(index, *item, out);
    }
    out.push(']');
}

/// Appends a single value. Text that cannot be a number, a boolean or null is
/// quoted.
fn scalar(value: &str, plain: bool, out: &mut String) {
    if plain && value.is_empty() {
        out.push('~');
    } else if plain && may_be_typed(value) {
        out.push_str(value);
    } else {
        quoted(value, out);
    }
}

/// Returns whether a plain value may be a number, a boolean or null.
fn may_be_typed(value: &str) -> bool {
    let word = |b: u8| b.is_ascii_alphanumeric() || b"._+~".contains(&b);
    let mut bytes = value.bytes();
    let first = bytes.next();
    first.is_some_and(|b| word(b) || (b == b'-' && value.len() > 1))
        && bytes.all(|b| word(b) || b == b'-')
}

/// Appends text in double quotes.
fn quoted(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c.is_ascii_graphic() || c == ' ' => out.push(c),
            c => out.push_str(&format!("\\U{:08x}", u32::from(c))),
        }
    }
    out.push('"');
}
