//! A day as a picture: final answers a second, and outages of groups.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::summary::Day;

/// Width and height, pixels.
const SIZE: (u32, u32) = (1_200, 480);

/// Why there is no picture.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is nothing to draw.
    #[error("no request in the logs")]
    Empty,
    /// It cannot be drawn or written.
    #[error("picture not written: {0}")]
    Draw(String),
}

/// What is drawn of each second.
const LINES: [(&str, RGBColor); 4] = [
    ("answered", RGBColor(30, 130, 60)),
    ("not-run", RGBColor(200, 60, 40)),
    ("broken-off", RGBColor(220, 150, 30)),
    ("unknown", RGBColor(100, 100, 100)),
];

/// Writes a picture of the day as SVG.
///
/// # Errors
///
/// An [`Error`].
pub fn write(day: &Day, file: &Path) -> Result<(), Error> {
    let fault = |error: &dyn std::fmt::Display| Error::Draw(error.to_string());
    let seconds = by_second(day);
    let (Some(first), Some(last)) = (seconds.keys().next(), seconds.keys().next_back()) else {
        return Err(Error::Empty);
    };
    let most = seconds.values().flatten().copied().max().unwrap_or(0).max(1);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| fault(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(*first as f64..(*last + 1) as f64, 0.0..most as f64 * 1.05)
        .map_err(|error| fault(&error))?;
    for outage in &day.outages {
        let end = outage.up.map_or((*last + 1) as f64, |(_, last)| last);
        let corners = [(outage.down.0, 0.0), (end, most as f64 * 1.05)];
        let shade = Rectangle::new(corners, RGBColor(200, 60, 40).mix(0.08).filled());
        chart.draw_series([shade]).map_err(|error| fault(&error))?;
    }
    for (place, (_, color)) in LINES.iter().enumerate() {
        let points = seconds.iter().map(|(second, counts)| (*second as f64, counts[place] as f64));
        chart.draw_series(LineSeries::new(points, color)).map_err(|error| fault(&error))?;
    }
    area.present().map_err(|error| fault(&error))
}

/// Final answers of each second over all zones, in the order of [`LINES`].
fn by_second(day: &Day) -> BTreeMap<i64, [u64; LINES.len()]> {
    let mut seconds: BTreeMap<i64, [u64; LINES.len()]> = BTreeMap::new();
    for ((second, _), row) in &day.rows {
        let counts = seconds.entry(*second).or_default();
        for (place, (outcome, _)) in LINES.iter().enumerate() {
            counts[place] += row.count_of(outcome);
        }
    }
    seconds
}
