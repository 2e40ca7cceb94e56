//! Percent-encoding of path segments.

/// Encodes `name` as one path segment; names come from callers and may contain any character.
pub(crate) fn url_segment(name: &str) -> String {
    let mut segment = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'~') {
            segment.push(char::from(byte));
        } else {
            segment.push_str(&format!("%{byte:02X}"));
        }
    }
    segment
}
