//! Keys that are not in the schema, including those that lack their unit suffix.

use crate::{
    finding::Finding,
    index::Index,
    place::{
        for_display,
        KeyPath, //
    },
    rules::unit,
    suggest::nearest, //
};

/// Returns the finding for an unknown key, and the path of the known key that was
/// probably intended.
pub(crate) fn check(
    index: &Index<'_>,
    path: &KeyPath<'_>,
    field: &str,
    known: &[&'static str],
) -> (Finding, Option<String>) {
    if let Some((intended, finding)) = unit::check(index, path, field, known) {
        return (finding, Some(path.sibling(intended).to_string()));
    }
    let suggestion = nearest(field, known.iter().copied());
    let fix = match suggestion {
        Some(key) => format!("write `{key}`"),
        None if field == "<<" => "merge keys are not supported: write out the keys".into(),
        None => format!("remove it; the known keys are {}", known.join(", ")),
    };
    let problem = format!("the key `{}` is not known", for_display(field));
    let finding = Finding::error("unknown-key", index, path, problem, fix);
    (finding, suggestion.map(|key| path.sibling(key).to_string()))
}
