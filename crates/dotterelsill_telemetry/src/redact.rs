//! Removal of keys from lines of the log.

/// Text that stands for a key.
pub const REDACTED: &str = "[redacted]";

/// Hex digits of a key of 32 bytes.
const KEY_DIGITS: usize = 64;

/// Returns the text with every run of 64 or more hex digits replaced by
/// [`REDACTED`].
///
/// A digest of 32 bytes looks like a key and is replaced too. Longer runs are
/// replaced as a whole, because a key may be part of them.
pub fn redact(mut text: String) -> String {
    let mut from = 0;
    while let Some((start, end)) = next_key(text.as_bytes(), from) {
        text.replace_range(start..end, REDACTED);
        from = start + REDACTED.len();
    }
    text
}

/// Returns the first run of digits from a position on that may be a key.
fn next_key(text: &[u8], from: usize) -> Option<(usize, usize)> {
    let mut start = from;
    for end in from..=text.len() {
        if text.get(end).is_some_and(u8::is_ascii_hexdigit) {
            continue;
        }
        if end - start >= KEY_DIGITS {
            return Some((start, end));
        }
        start = end + 1;
    }
    None
}
