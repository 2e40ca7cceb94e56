//! Self-contained HTML page with the results of a directory.

use std::fmt::Write as _;
use std::fs;
use std::io;
use std::path::Path;

use plotters::prelude::*;

use crate::checker::Figures;
use crate::run::RunResult;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);

/// Title of a plot and the figure that it shows.
type PlottedFigure = (&'static str, fn(&Figures) -> f64);

/// Figures that are plotted.
const PLOTS: [PlottedFigure; 4] = [
    ("false refusals", |figures| figures.false_refusals as f64),
    ("first token, 95th percentile, ms", |figures| {
        figures.first_token_p95_ms
    }),
    ("appends a second", |figures| figures.appends_per_s),
    ("stranded tokens at the end", |figures| {
        figures.stranded_tokens_end as f64
    }),
];

/// Reads all results of a directory, sorted by scenario, profile, policy and seed.
pub fn read_results(directory: &Path) -> io::Result<Vec<RunResult>> {
    let mut results: Vec<RunResult> = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            results.push(serde_json::from_str(&fs::read_to_string(path)?)?);
        }
    }
    let key = |result: &RunResult| {
        let settings = result.settings.clone();
        (
            settings.scenario,
            settings.profile,
            settings.policy,
            settings.seed,
        )
    };
    results.sort_by_key(key);
    Ok(results)
}

/// Writes the HTML page: a table of all results, then one bar chart for each plotted figure.
pub fn write_report(results: &[RunResult], path: &Path) -> io::Result<()> {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>Results</title>\
         <style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .6em;text-align:right}\
         td:first-child,th:first-child{text-align:left}.broken{background:#fdd}</style>\
         <h1>Results</h1>",
    );
    page.push_str(&html_table(results));
    for (title, value) in PLOTS {
        let values: Vec<f64> = results
            .iter()
            .map(|result| value(&result.figures))
            .collect();
        let plot = bar_chart(&values).map_err(|error| io::Error::other(error.to_string()))?;
        // Writing to a string cannot fail.
        let _ = write!(
            page,
            "<h2>{title}</h2><p>Bars in the order of the table.</p>{plot}"
        );
    }
    fs::write(path, page)
}

/// Formats the results as a Markdown table.
#[must_use]
pub fn markdown_table(results: &[RunResult]) -> String {
    let mut table = String::from(
        "| scenario | profile | policy | seed | s | requests | whole | false refusals | overspend, tokens | billed twice | unbilled | first token p50 / p95, ms | in force p99, ms | stranded, tokens | appends/s | verdict |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for result in results {
        let (settings, figures) = (&result.settings, &result.figures);
        let broken = result
            .broken
            .iter()
            .map(|breach| format!("{:?}", breach.promise));
        let broken: Vec<String> = broken.collect();
        let check_result = if figures.ok {
            "kept".to_owned()
        } else {
            broken.join(", ")
        };
        let _ = writeln!(
            table,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {:.0} / {:.0} | {} | {} | {} | {check_result} |",
            settings.scenario,
            settings.profile,
            settings.policy,
            settings.seed,
            settings.seconds,
            figures.requests,
            figures.whole_answers,
            figures.false_refusals,
            figures.overspend_tokens,
            figures.billed_twice,
            figures.unbilled,
            figures.first_token_p50_ms,
            figures.first_token_p95_ms,
            figures.config_in_force_p99_ms,
            figures.stranded_tokens_end,
            figures.appends_per_s,
        );
    }
    table
}

fn html_table(results: &[RunResult]) -> String {
    let mut table = String::from("<table><tr><th>run</th>");
    let names = [
        "requests",
        "whole",
        "refusals",
        "false",
        "overspend",
        "twice",
        "unbilled",
    ];
    let rest = ["wrong", "p50 ms", "p95 ms", "appends/s", "verdict"];
    for name in names.iter().chain(&rest) {
        let _ = write!(table, "<th>{name}</th>");
    }
    table.push_str("</tr>");
    for result in results {
        let figures = &result.figures;
        let class = if figures.ok { "kept" } else { "broken" };
        let _ = write!(
            table,
            "<tr class=\"{class}\"><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{class}</td></tr>",
            result.command,
            figures.requests,
            figures.whole_answers,
            figures.refusals,
            figures.false_refusals,
            figures.overspend_tokens,
            figures.billed_twice,
            figures.unbilled,
            figures.wrong_answers,
            figures.first_token_p50_ms,
            figures.first_token_p95_ms,
            figures.appends_per_s,
        );
    }
    table.push_str("</table>");
    table
}

fn bar_chart(values: &[f64]) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    let largest = values.iter().copied().fold(1.0, f64::max) * 1.1;
    let count = values.len().max(1) as f64;
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(24)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..count, 0.0..largest)?;
        chart.configure_mesh().disable_x_mesh().draw()?;
        let bars = values.iter().enumerate().map(|(index, value)| {
            let left = index as f64 + 0.15;
            Rectangle::new([(left, 0.0), (left + 0.7, *value)], BLUE.filled())
        });
        chart.draw_series(bars)?;
        area.present()?;
    }
    Ok(svg)
}
