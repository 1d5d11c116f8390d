//! Plots as SVG files.
//!
//! A [`Plot`] of a report is drawn over linear axes that begin at zero. No text layout is added to
//! that of the drawing library, so that the files of different runs can be compared.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

use crate::report::Plot;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// The ratio of an axis's length to the largest value on it.
const HEADROOM: f64 = 1.05;

/// Draws `plot` into `file`.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write(plot: &Plot, file: &Path) -> eyre::Result<()> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (x_max, y_max) = extent(plot);
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().draw()?;
    for (index, series) in plot.series.iter().enumerate() {
        let color = Palette99::pick(index);
        chart.draw_series(LineSeries::new(series.points.iter().copied(), &color))?;
    }
    area.present()?;
    Ok(())
}

/// Returns the ends of the horizontal and the vertical axis.
fn extent(plot: &Plot) -> (f64, f64) {
    let points = plot.series.iter().flat_map(|series| &series.points);
    let longest = points.fold((f64::MIN_POSITIVE, f64::MIN_POSITIVE), |end, point| {
        (end.0.max(point.0), end.1.max(point.1))
    });
    (longest.0 * HEADROOM, longest.1 * HEADROOM)
}
