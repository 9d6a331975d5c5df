//! SVG plots of experiments.

use super::trial::Trial;
use crate::core::{
    LoadError,
    experiment::{Experiment, PlotKind},
};
use error_stack::Report;
use indexmap::IndexMap;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};
use std::path::Path;

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 540);
/// Margin around the chart, in pixels.
const MARGIN_PX: u32 = 12;
/// Size of the area for the labels of an axis, in pixels.
const LABEL_AREA_PX: u32 = 52;
/// Lower end of the logarithmic latency axis, in ms. Lower latencies are drawn at this value.
const MIN_LATENCY_MS: f64 = 1.0;

/// Points of the line of each variant. The second coordinate is a latency in ms.
type Lines<'a> = IndexMap<&'a str, Vec<(f64, f64)>>;

/// Draws a plot of `trials` to the file `path`.
///
/// # Errors
///
/// [`LoadError::DrawPlot`] if the plot cannot be drawn or written.
pub fn draw(
    experiment: &Experiment,
    trials: &[Trial],
    path: &Path,
) -> Result<(), Report<LoadError>> {
    let lines = lines(experiment.plot, trials);
    draw_chart(experiment, &lines, path)
        .map_err(|e| Report::new(LoadError::DrawPlot(path.to_owned())).attach(e.to_string()))
}

fn lines(kind: PlotKind, trials: &[Trial]) -> Lines<'_> {
    let mut lines = Lines::new();
    for trial in trials {
        let line = lines.entry(trial.variant.as_str()).or_default();
        let p99 = trial.total.latency.p99;
        match kind {
            PlotKind::Load => line.push((100.0 * trial.load, p99)),
            PlotKind::Cost => line.push((100.0 * trial.probe_share, p99)),
            PlotKind::Time => {
                line.extend(trial.windows.iter().map(|w| (w.from_s, w.latency.p99)));
            }
        }
    }
    lines
}

fn draw_chart(
    experiment: &Experiment,
    lines: &Lines<'_>,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.values().flatten();
    let right = points().map(|p| p.0).fold(0.0, f64::max) * 1.02 + 0.01;
    let left = match experiment.plot {
        PlotKind::Load => points().map(|p| p.0).fold(f64::INFINITY, f64::min) * 0.98,
        PlotKind::Time | PlotKind::Cost => 0.0,
    };
    let top = points().map(|p| p.1).fold(MIN_LATENCY_MS, f64::max) * 1.3;
    let x_label = match experiment.plot {
        PlotKind::Load => "load, % of capacity",
        PlotKind::Time => "time, s",
        PlotKind::Cost => "slot time spent on probes, %",
    };
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&experiment.title, ("sans-serif", 18))
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(left..right, (MIN_LATENCY_MS..top).log_scale())?;
    chart.configure_mesh().x_desc(x_label).y_desc("99th percentile, ms").draw()?;
    for (i, (name, line)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line: Vec<_> = line.iter().map(|&(x, y)| (x, y.max(MIN_LATENCY_MS))).collect();
        chart
            .draw_series(LineSeries::new(line.clone(), color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
        chart.draw_series(line.into_iter().map(|p| Circle::new(p, 3, color.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}
