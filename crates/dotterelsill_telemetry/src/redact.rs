//! Redaction of API keys in log lines.

/// Text that replaces a key.
pub const REDACTED: &str = "[redacted]";

/// Number of hex digits of a key, which has 32 bytes.
const KEY_DIGITS: usize = 64;

/// Returns the text with every run of 64 or more hex digits replaced by
/// [`REDACTED`].
///
/// Digests of 32 bytes cannot be told from keys and are replaced, too. Longer runs are
/// replaced as a whole, because they may contain a key.
pub fn redact(mut text: String) -> String {
    let mut from = 0;
    while let Some((start, end)) = next_key(text.as_bytes(), from) {
        text.replace_range(start..end, REDACTED);
        from = start + REDACTED.len();
    }
    text
}

/// Returns the start and end of the first run of hex digits at or after a position
/// that may contain a key.
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
