//! Bar charts of a report.

use super::Report;
use plotters::prelude::*;
use std::path::Path;
use thiserror::Error;

/// Image width, in pixels.
const WIDTH: u32 = 900;

/// Image height, in pixels.
const HEIGHT: u32 = 420;

/// A plot could not be drawn or written.
#[derive(Debug, Error)]
#[error("failed to draw the plot: {0}")]
pub struct PlotError(String);

/// Writes bar charts of the score and the goodput of every policy to an SVG file.
pub fn plot(report: &Report, path: &Path) -> Result<(), PlotError> {
    let failed = |e: &dyn std::fmt::Display| PlotError(e.to_string());
    let root = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| failed(&e))?;
    let (left, right) = root.split_horizontally(WIDTH / 2);
    let scores: Vec<_> = report.rows.iter().map(|row| row.figures.score).collect();
    let goodputs: Vec<_> = report.rows.iter().map(|row| row.figures.goodput).collect();
    bars(&left, "score (lower is better)", report, &scores)?;
    bars(&right, "goodput", report, &goodputs)?;
    root.present().map_err(|e| failed(&e))
}

fn bars(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    report: &Report,
    values: &[f64],
) -> Result<(), PlotError> {
    let failed = |e: &dyn std::fmt::Display| PlotError(e.to_string());
    let max = values.iter().copied().fold(0.01, f64::max) * 1.1;
    let count = values.len() as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..count, 0.0..max)
        .map_err(|e| failed(&e))?;
    let label = |x: &f64| {
        report.rows.get(*x as usize).map_or_else(String::new, |row| row.policy.to_string())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(values.len())
        .x_label_formatter(&label)
        .draw()
        .map_err(|e| failed(&e))?;
    let bar = |(index, value): (usize, &f64)| {
        let x = index as f64;
        Rectangle::new([(x + 0.15, 0.0), (x + 0.85, *value)], BLUE.mix(0.6).filled())
    };
    chart.draw_series(values.iter().enumerate().map(bar)).map_err(|e| failed(&e))?;
    Ok(())
}
