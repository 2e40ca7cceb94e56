//! Line diff of two texts.

/// Maximum product of changed old and new lines for which a minimal diff is computed.
const MAX_TABLE_CELLS: usize = 4_000_000;
/// Number of unchanged lines shown around a change.
const CONTEXT_LINES: usize = 3;

/// One line of a diff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiffLine<'a> {
    Same(&'a str),
    Removed(&'a str),
    Added(&'a str),
}

/// Line diff of two texts; its [`Display`](std::fmt::Display) form is a unified diff.
///
/// ```
/// let diff = toucan_config::diff_lines("a\nb\n", "a\nc\n");
/// assert_eq!(diff.to_string(), "@@ -1,2 +1,2 @@\n a\n-b\n+c\n");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineDiff<'a> {
    lines: Vec<DiffLine<'a>>,
}

/// Compares two texts line by line.
///
/// The common start and end are always found. If the parts between them are too long for a minimal
/// diff, all their lines are shown as removed and added.
#[must_use]
pub fn diff_lines<'a>(old: &'a str, new: &'a str) -> LineDiff<'a> {
    let old_lines: Vec<&str> = old.lines().collect();
    let new_lines: Vec<&str> = new.lines().collect();
    let is_same = |(one, other): &(&&str, &&str)| one == other;
    let same_start = old_lines.iter().zip(&new_lines).take_while(is_same).count();
    let same_end = old_lines[same_start..]
        .iter()
        .rev()
        .zip(new_lines[same_start..].iter().rev())
        .take_while(is_same)
        .count();
    let old_middle = &old_lines[same_start..old_lines.len() - same_end];
    let new_middle = &new_lines[same_start..new_lines.len() - same_end];

    let mut lines: Vec<_> = old_lines[..same_start]
        .iter()
        .map(|line| DiffLine::Same(line))
        .collect();
    push_changed_lines(&mut lines, old_middle, new_middle);
    let end = &old_lines[old_lines.len() - same_end..];
    lines.extend(end.iter().map(|line| DiffLine::Same(line)));
    LineDiff { lines }
}

impl LineDiff<'_> {
    /// Returns whether the texts have the same lines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines
            .iter()
            .all(|line| matches!(line, DiffLine::Same(_)))
    }

    /// Returns for each line of the new text the index of the unchanged line in the old text.
    pub(crate) fn origins(&self) -> Vec<Option<usize>> {
        let mut old_index = 0;
        let mut origins = Vec::new();
        for line in &self.lines {
            match line {
                DiffLine::Same(_) => {
                    origins.push(Some(old_index));
                    old_index += 1;
                }
                DiffLine::Removed(_) => old_index += 1,
                DiffLine::Added(_) => origins.push(None),
            }
        }
        origins
    }

    /// Returns the hunks as ranges of [`Self::lines`]: changes with their context.
    fn hunks(&self) -> Vec<std::ops::Range<usize>> {
        let mut hunks: Vec<std::ops::Range<usize>> = Vec::new();
        for (at, line) in self.lines.iter().enumerate() {
            if matches!(line, DiffLine::Same(_)) {
                continue;
            }
            let start = at.saturating_sub(CONTEXT_LINES);
            let end = (at + 1 + CONTEXT_LINES).min(self.lines.len());
            match hunks.last_mut() {
                Some(last) if start <= last.end => last.end = end,
                _ => hunks.push(start..end),
            }
        }
        hunks
    }
}

impl std::fmt::Display for LineDiff<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (mut old_line, mut new_line, mut at) = (1, 1, 0);
        for hunk in self.hunks() {
            let skipped = hunk.start - at;
            old_line += skipped;
            new_line += skipped;
            at = hunk.end;
            let lines = &self.lines[hunk];
            let count = |wanted: fn(&DiffLine<'_>) -> bool| {
                lines.iter().filter(|line| wanted(line)).count()
            };
            let old_count = count(|line| !matches!(line, DiffLine::Added(_)));
            let new_count = count(|line| !matches!(line, DiffLine::Removed(_)));
            writeln!(f, "@@ -{old_line},{old_count} +{new_line},{new_count} @@")?;
            for line in lines {
                match line {
                    DiffLine::Same(text) => writeln!(f, " {text}")?,
                    DiffLine::Removed(text) => writeln!(f, "-{text}")?,
                    DiffLine::Added(text) => writeln!(f, "+{text}")?,
                }
            }
            old_line += old_count;
            new_line += new_count;
        }
        Ok(())
    }
}

/// Appends the diff of the parts between the common start and the common end.
fn push_changed_lines<'a>(lines: &mut Vec<DiffLine<'a>>, old: &[&'a str], new: &[&'a str]) {
    let is_small = old.len().saturating_mul(new.len()) <= MAX_TABLE_CELLS;
    let table = if is_small {
        lcs_lengths(old, new)
    } else {
        Vec::new()
    };
    let width = new.len() + 1;
    let common = |i: usize, j: usize| table.get(i * width + j).copied().unwrap_or(0);
    let (mut i, mut j) = (0, 0);
    while i < old.len() || j < new.len() {
        let is_both = i < old.len() && j < new.len();
        if is_both && is_small && old[i] == new[j] {
            lines.push(DiffLine::Same(old[i]));
            i += 1;
            j += 1;
        } else if i < old.len() && (j == new.len() || common(i + 1, j) >= common(i, j + 1)) {
            lines.push(DiffLine::Removed(old[i]));
            i += 1;
        } else {
            lines.push(DiffLine::Added(new[j]));
            j += 1;
        }
    }
}

/// Returns the lengths of the longest common subsequences of all pairs of suffixes, row by row.
fn lcs_lengths(old: &[&str], new: &[&str]) -> Vec<u32> {
    let width = new.len() + 1;
    let mut table = vec![0; (old.len() + 1) * width];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            table[i * width + j] = if old[i] == new[j] {
                table[(i + 1) * width + j + 1] + 1
            } else {
                table[(i + 1) * width + j].max(table[i * width + j + 1])
            };
        }
    }
    table
}
