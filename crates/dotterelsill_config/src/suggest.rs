//! Suggests the known name that is most similar to an unknown one.

/// Maximum number of names to compare, which bounds the time per suggestion.
const MAX_CANDIDATES: usize = 256;

/// Maximum length of a name to compare, in bytes.
const MAX_COMPARED_BYTES: usize = 64;

/// Returns the candidate most similar to a name, or `None` if none is similar.
///
/// A candidate is similar if its edit distance is at most 3 bytes and at most a
/// third of the name's length, rounded up.
pub(crate) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    if name.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let max_distance = name.len().div_ceil(3).min(3);
    candidates
        .into_iter()
        .take(MAX_CANDIDATES)
        .filter(|candidate| !candidate.is_empty())
        .filter(|candidate| candidate.len().abs_diff(name.len()) <= max_distance)
        .map(|candidate| {
            (
                edit_distance(name.as_bytes(), candidate.as_bytes()),
                candidate,
            )
        })
        .filter(|(distance, _)| *distance <= max_distance)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two byte strings.
fn edit_distance(a: &[u8], b: &[u8]) -> usize {
    let mut previous: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.iter().enumerate() {
        let mut current = vec![i + 1];
        for (j, to) in b.iter().enumerate() {
            let substituted = previous[j] + usize::from(from != to);
            let inserted = current[j] + 1;
            let deleted = previous[j + 1] + 1;
            current.push(substituted.min(inserted).min(deleted));
        }
        previous = current;
    }
    previous[b.len()]
}
