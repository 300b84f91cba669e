//! Serializes parts of the index to YAML, to deserialize them separately.

use crate::index::{
    Content,
    Entry,
    Index,
    NodeId, //
};

/// Appends a node in flow style.
///
/// The index limits nesting and size, which bounds the recursion and the output.
pub(crate) fn node(index: &Index<'_>, node: NodeId, out: &mut String) {
    match index.content(node) {
        Content::Mapping(entries) => mapping(index, entries, out),
        Content::Scalar(value, is_plain) => scalar(value, *is_plain, out),
        Content::Sequence(items) => sequence(index, items, out),
    }
}

/// Appends a mapping of the given entries.
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

/// Appends a list of the given items.
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

/// Appends a scalar. It stays unquoted only if it may be a number, a boolean or
/// null.
fn scalar(value: &str, is_plain: bool, out: &mut String) {
    if is_plain && value.is_empty() {
        out.push('~');
    } else if is_plain && may_be_typed(value) {
        out.push_str(value);
    } else {
        quoted(value, out);
    }
}

/// Returns whether a plain scalar may be a number, a boolean or null.
fn may_be_typed(value: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._+~".contains(&b);
    let mut bytes = value.bytes();
    let first = bytes.next();
    first.is_some_and(|b| is_allowed(b) || (b == b'-' && value.len() > 1))
        && bytes.all(|b| is_allowed(b) || b == b'-')
}

/// Appends text in double quotes, with escapes.
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
