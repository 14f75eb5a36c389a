//! Line plots, written as SVG.

use std::path;

use eyre::WrapErr as _;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, IntoDrawingArea as _, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// Space round a plot, in pixels.
const MARGIN: u32 = 16;

/// Space for the labels of an axis, in pixels.
const LABELS: u32 = 56;

/// Length of a line in the legend, in pixels.
const LEGEND: i32 = 20;

/// Colours of the series, in turn.
const COLORS: [RGBColor; 4] = [BLUE, RED, RGBColor(0, 128, 0), RGBColor(160, 90, 0)];

/// A named line.
#[derive(Clone, Debug)]
pub(super) struct Series {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// A plot of lines over common axes.
#[derive(Clone, Debug)]
pub(super) struct Plot {
    pub(super) title: &'static str,
    pub(super) x: &'static str,
    pub(super) y: &'static str,
    pub(super) series: Vec<Series>,
}

impl Plot {
    /// Writes the plot to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the plot has no point or the file cannot be written.
    pub(super) fn write(&self, file: &path::Path) -> eyre::Result<()> {
        self.draw(file)
            .map_err(|e| eyre::eyre!("{e}"))
            .wrap_err_with(|| file.display().to_string())
    }

    fn draw(&self, file: &path::Path) -> Result<(), Box<dyn std::error::Error>> {
        let (x, y) = self.ranges().ok_or("the plot has no point")?;
        let area = SVGBackend::new(file, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.title, ("sans-serif", 20))
            .margin(MARGIN)
            .x_label_area_size(LABELS)
            .y_label_area_size(LABELS)
            .build_cartesian_2d(x, y)?;
        chart
            .configure_mesh()
            .x_desc(self.x)
            .y_desc(self.y)
            .draw()?;
        for (i, series) in self.series.iter().enumerate() {
            let color = COLORS[i % COLORS.len()];
            chart
                .draw_series(LineSeries::new(series.points.iter().copied(), color))?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }

    /// Ranges that hold every point.
    fn ranges(&self) -> Option<(std::ops::Range<f64>, std::ops::Range<f64>)> {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let x = range(points().map(|point| point.0))?;
        let y = range(points().map(|point| point.1))?;
        Some((x, y))
    }
}

/// Range that holds the values and is not empty.
fn range<I>(values: I) -> Option<std::ops::Range<f64>>
where
    I: Iterator<Item = f64> + Clone,
{
    let low = values.clone().reduce(f64::min)?;
    let high = values.reduce(f64::max)?;
    Some(if low < high {
        low..high
    } else {
        low..low + 1.0
    })
}
