//! Position in a text.

/// Line and column in a text, both counted from 1; the column counts characters.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Position {
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
}

impl Default for Position {
    fn default() -> Self {
        Self { line: 1, column: 1 }
    }
}

impl Position {
    /// Returns the position of a byte offset in `text`; an offset past the end gives the end of the
    /// text.
    ///
    /// ```
    /// use toucan_types::Position;
    ///
    /// assert_eq!(Position::of_byte("{\n  1\n}", 4), Position { line: 2, column: 3 });
    /// ```
    #[must_use]
    pub fn of_byte(text: &str, byte_offset: usize) -> Self {
        let mut position = Self::default();
        for (offset, character) in text.char_indices() {
            if offset >= byte_offset {
                break;
            }
            if character == '\n' {
                position.line += 1;
                position.column = 1;
            } else {
                position.column += 1;
            }
        }
        position
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
