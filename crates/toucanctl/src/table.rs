//! Text tables and number formats for terminal output.

use chrono::DateTime;

/// A table whose columns are as wide as their widest cell; numbers are right-aligned.
///
/// Cells are never truncated, so piped output is complete.
#[derive(Clone, Debug)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
    right_aligned: Vec<bool>,
}

impl TextTable {
    /// Creates a table with these headings; a heading that starts with `>` marks a numeric column.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let names = headings
            .iter()
            .map(|heading| heading.trim_start_matches('>').to_owned());
        Self {
            rows: vec![names.collect()],
            right_aligned: headings
                .iter()
                .map(|heading| heading.starts_with('>'))
                .collect(),
        }
    }

    pub(crate) fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }
}

impl std::fmt::Display for TextTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..self.right_aligned.len()).map(width).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).zip(&self.right_aligned);
            let padded = cells.map(|((cell, width), is_right)| {
                if *is_right {
                    format!("{cell:>width$}")
                } else {
                    format!("{cell:<width$}")
                }
            });
            let line = padded.collect::<Vec<_>>().join("  ");
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Formats a number in groups of three digits.
pub(crate) fn grouped(number: impl std::fmt::Display) -> String {
    let digits = number.to_string();
    let mut grouped = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            grouped.push(' ');
        }
        grouped.push(digit);
    }
    grouped
}

/// Formats a time as date and time of day in UTC.
pub(crate) fn utc(at_ms: u64) -> String {
    let at = i64::try_from(at_ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis);
    at.map_or_else(
        || format!("{at_ms} ms"),
        |at| at.format("%Y-%m-%d %H:%M:%S").to_string(),
    )
}

/// Colours the lines of a unified diff.
pub(crate) fn coloured_diff(diff: &str, use_colour: bool) -> String {
    if !use_colour {
        return diff.to_owned();
    }
    let coloured = |line: &str| {
        let colour = match line.as_bytes().first() {
            Some(b'+') => "32",
            Some(b'-') => "31",
            Some(b'@') => "36",
            _ => return format!("{line}\n"),
        };
        format!("\u{1b}[{colour}m{line}\u{1b}[0m\n")
    };
    diff.lines().map(coloured).collect()
}
