//! A key that the schema does not have, or that lacks its unit.

use crate::{
    finding::Finding,
    index::Index,
    place::{
        shown,
        Place, //
    },
    rules::unit,
    suggest::nearest,
};

/// Returns the finding for an unknown key, and the path of the key that was
/// probably meant.
pub(crate) fn check(
    index: &Index<'_>,
    place: &Place<'_>,
    field: &str,
    known: &[&'static str],
) -> (Finding, Option<String>) {
    if let Some((meant, finding)) = unit::check(index, place, field, known) {
        return (finding, Some(place.sibling(meant).to_string()));
    }
    let near = nearest(field, known.iter().copied());
    let fix = match near {
        Some(key) => format!("write `{key}`"),
        None if field == "<<" => "merge keys are not read: write out the keys".into(),
        None => format!("remove it; the known keys are {}", known.join(", ")),
    };
    let problem = format!("the key `{}` is not known", shown(field));
    let finding = Finding::error("unknown-key", index, place, problem, fix);
    (finding, near.map(|key| place.sibling(key).to_string()))
}
