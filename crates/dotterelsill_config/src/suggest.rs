//! Suggestions of the nearest known name.

/// Most names that are compared, which bounds the time of a suggestion.
const MAX_CANDIDATES: usize = 256;

/// Longest name that is compared, in bytes.
const MAX_COMPARED_BYTES: usize = 64;

/// Returns the candidate nearest to a name, or nothing when none is near.
///
/// A candidate is near when at most a third of the name's bytes (rounded up), and
/// at most 3, have to be changed.
pub(crate) fn nearest<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    if name.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let limit = name.len().div_ceil(3).min(3);
    candidates
        .into_iter()
        .take(MAX_CANDIDATES)
        .filter(|candidate| !candidate.is_empty())
        .filter(|candidate| candidate.len().abs_diff(name.len()) <= limit)
        .map(|candidate| {
            (
                edit_distance(name.as_bytes(), candidate.as_bytes()),
                candidate,
            )
        })
        .filter(|(distance, _)| *distance <= limit)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two byte strings.
fn edit_distance(a: &[u8], b: &[u8]) -> usize {
    let mut previous: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.iter().enumerate() {
        let mut current = vec![i + 1];
        for (j, to) in b.iter().enumerate() {
            let replaced = previous[j] + usize::from(from != to);
            let inserted = current[j] + 1;
            let removed = previous[j + 1] + 1;
            current.push(replaced.min(inserted).min(removed));
        }
        previous = current;
    }
    previous[b.len()]
}
