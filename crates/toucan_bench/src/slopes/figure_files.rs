//! Files of the measured slopes: one JSON file and one plot for each.

use std::fs;
use std::io;
use std::path::Path;

use plotters::prelude::*;

use super::Slope;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (640, 400);

/// Writes the `NAME.json` and `NAME.svg` of a slope into a directory.
pub fn write_slope(directory: &Path, slope: &Slope) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    let json = serde_json::to_string_pretty(slope)?;
    fs::write(directory.join(format!("{}.json", slope.name)), json + "\n")?;
    let path = directory.join(format!("{}.svg", slope.name));
    draw(&path, slope).map_err(|error| io::Error::other(error.to_string()))
}

/// Reads all slopes of a directory, sorted by name.
pub fn read_slopes(directory: &Path) -> io::Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            slopes.push(serde_json::from_str(&fs::read_to_string(path)?)?);
        }
    }
    slopes.sort_by(|one: &Slope, other: &Slope| one.name.cmp(&other.name));
    Ok(slopes)
}

fn draw(path: &Path, slope: &Slope) -> Result<(), Box<dyn std::error::Error>> {
    let upper_bound = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max) * 1.05;
    let max_x = upper_bound(&mut slope.points.iter().map(|point| point.0));
    let measured_y = upper_bound(&mut slope.points.iter().map(|point| point.1));
    let max_y = measured_y.max(slope.value_at(max_x));
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(84)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
    chart
        .configure_mesh()
        .x_desc(slope.x.as_str())
        .y_desc(slope.y.as_str())
        .draw()?;
    let line = [(0.0, slope.value_at(0.0)), (max_x, slope.value_at(max_x))];
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    let circles = slope.points.iter();
    chart.draw_series(circles.map(|point| Circle::new(*point, 4, RED.filled())))?;
    area.present()?;
    Ok(())
}
