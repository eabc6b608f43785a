//! A plot of a day: final answers per second, and outages of groups.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::summary::Day;

/// Width and height, in pixels.
const SIZE: (u32, u32) = (1_200, 480);

/// Reason for which no plot was written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The logs contain no requests.
    #[error("the logs contain no requests")]
    Empty,
    /// The plot cannot be drawn or written.
    #[error("cannot write plot: {0}")]
    Draw(String),
}

/// Outcomes that are plotted, with the color of each line.
const SERIES: [(&str, RGBColor); 4] = [
    ("answered", RGBColor(30, 130, 60)),
    ("not-run", RGBColor(200, 60, 40)),
    ("broken-off", RGBColor(220, 150, 30)),
    ("unknown", RGBColor(100, 100, 100)),
];

/// Writes a plot of the day as SVG.
///
/// # Errors
///
/// Returns an [`Error`] if the logs contain no requests or the file cannot be written.
pub fn write(day: &Day, file: &Path) -> Result<(), Error> {
    let draw_error = |error: &dyn std::fmt::Display| Error::Draw(error.to_string());
    let seconds = by_second(day);
    let (Some(first), Some(last)) = (seconds.keys().next(), seconds.keys().next_back()) else {
        return Err(Error::Empty);
    };
    let max = seconds.values().flatten().copied().max().unwrap_or(0).max(1);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| draw_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(*first as f64..(*last + 1) as f64, 0.0..max as f64 * 1.05)
        .map_err(|error| draw_error(&error))?;
    for outage in &day.outages {
        let end = outage.up.map_or((*last + 1) as f64, |(_, last)| last);
        let corners = [(outage.down.0, 0.0), (end, max as f64 * 1.05)];
        let shade = Rectangle::new(corners, RGBColor(200, 60, 40).mix(0.08).filled());
        chart.draw_series([shade]).map_err(|error| draw_error(&error))?;
    }
    for (index, (_, color)) in SERIES.iter().enumerate() {
        let points = seconds.iter().map(|(second, counts)| (*second as f64, counts[index] as f64));
        chart.draw_series(LineSeries::new(points, color)).map_err(|error| draw_error(&error))?;
    }
    area.present().map_err(|error| draw_error(&error))
}

/// Returns the final answers per second over all zones, in the order of [`SERIES`].
fn by_second(day: &Day) -> BTreeMap<i64, [u64; SERIES.len()]> {
    let mut seconds: BTreeMap<i64, [u64; SERIES.len()]> = BTreeMap::new();
    for ((second, _), row) in &day.rows {
        let counts = seconds.entry(*second).or_default();
        for (index, (outcome, _)) in SERIES.iter().enumerate() {
            counts[index] += row.count_of(outcome);
        }
    }
    seconds
}
