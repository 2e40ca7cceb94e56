//! Lines of a limited width.

/// Maximum number of characters in a line.
const MAX_COLUMNS: usize = 100;
/// Indentation of the lines after the first.
const INDENT: &str = "    ";

/// Breaks a text into lines of at most 100 characters; later lines are indented.
///
/// A word that is longer than a line is broken, too.
pub(crate) fn wrapped(text: &str) -> String {
    let mut lines = String::new();
    let mut columns = 0;
    for word in text.split_whitespace() {
        let word_columns = word.chars().count();
        if columns > 0 && columns + 1 + word_columns <= MAX_COLUMNS {
            lines.push(' ');
            columns += 1;
        } else if columns > 0 {
            lines.push('\n');
            lines.push_str(INDENT);
            columns = INDENT.len();
        }
        for character in word.chars() {
            if columns == MAX_COLUMNS {
                lines.push('\n');
                lines.push_str(INDENT);
                columns = INDENT.len();
            }
            lines.push(character);
            columns += 1;
        }
    }
    lines.push('\n');
    lines
}
