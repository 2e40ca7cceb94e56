//! Fills the generated tables into the capacity page.

use super::{failures, roles};
use crate::slopes::Slope;

/// Start marker of a generated part; the name of the part and [`COMMENT_END`] follow.
const START: &str = "<!-- generated: ";
/// End of an HTML comment.
const COMMENT_END: &str = " -->";
/// End marker of a generated part.
const END: &str = "<!-- end of generated -->";

/// Slopes by name.
pub(crate) struct Slopes<'a>(&'a [Slope]);

impl Slopes<'_> {
    pub(crate) fn get(&self, name: &str) -> Option<&Slope> {
        self.0.iter().find(|slope| slope.name == name)
    }
}

/// Regenerates each generated part of the page from the slopes.
///
/// A part whose slopes are missing says that they are not measured yet.
#[must_use]
pub fn fill_page(page: &str, slopes: &[Slope]) -> String {
    let mut filled = String::new();
    let mut rest = page;
    while let Some((before, after)) = rest.split_once(START) {
        let Some((name, body)) = after.split_once(COMMENT_END) else {
            break;
        };
        let Some((_, after_end)) = body.split_once(END) else {
            break;
        };
        let part = generate_part(name, &Slopes(slopes));
        let part = part.unwrap_or_else(|| "Not measured yet.\n".to_owned());
        filled.push_str(&format!(
            "{before}{START}{name}{COMMENT_END}\n\n{part}\n{END}"
        ));
        rest = after_end;
    }
    filled + rest
}

fn generate_part(name: &str, slopes: &Slopes<'_>) -> Option<String> {
    match name {
        "slopes" => Some(slopes_table(slopes)),
        "gatherer" => roles::batcher(slopes),
        "every-node" => roles::every_node(slopes),
        "membership" => roles::membership(slopes),
        "failures" => failures::failures(slopes),
        _ => None,
    }
}

fn slopes_table(slopes: &Slopes<'_>) -> String {
    let mut table = String::from(
        "| slope | what | sizes | at 0 | each | error | r² |\n|---|---|---|---|---|---|---|\n",
    );
    for slope in slopes.0 {
        let first = slope.points.first().map_or(0.0, |point| point.0);
        let last = slope.points.last().map_or(0.0, |point| point.0);
        table.push_str(&format!(
            "| [`{0}`](figures/{0}.svg) | {1}, {2} | {3} from {first} to {last} {4} | {5} | {6} | {7} | {8} |\n",
            slope.name,
            slope.about,
            slope.y,
            slope.points.len(),
            slope.x,
            slope.intercept,
            slope.slope,
            slope.slope_error,
            slope.r_squared,
        ));
    }
    table
}
