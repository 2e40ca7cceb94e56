//! The numbers of the capacity page come from the files of measured slopes.

use std::fs;
use std::path::Path;

use toucan_bench::{Slope, fill_page, read_slopes};

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
const FIGURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/figures");

#[test]
fn page_matches_the_measured_slopes() {
    let slopes = read_slopes(Path::new(FIGURES)).expect("the figures are there");
    assert!(!slopes.is_empty());
    let page = fs::read_to_string(PAGE).expect("the page is there");
    assert_eq!(
        fill_page(&page, &slopes),
        page,
        "run `toucan_bench capacity --page`"
    );
}

#[test]
fn figure_files_match_the_fit_of_their_points() {
    for slope in read_slopes(Path::new(FIGURES)).expect("the figures are there") {
        assert!(slope.points.len() >= 4, "{}", slope.name);
        let again = Slope::fit(
            &slope.name,
            &slope.about,
            &slope.x,
            &slope.y,
            slope.points.clone(),
        );
        assert_eq!(again, slope);
    }
}

#[test]
fn changed_slope_changes_the_page() {
    let mut slopes = read_slopes(Path::new(FIGURES)).expect("the figures are there");
    let page = fs::read_to_string(PAGE).expect("the page is there");
    slopes[0].slope += 1.0;
    assert_ne!(fill_page(&page, &slopes), page);
}
