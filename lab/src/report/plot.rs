//! SVG line plots with shaded faults.
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 260);
const COLORS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
    RGBColor(140, 86, 75),
    RGBColor(127, 127, 127),
];

/// A line in a plot.
pub(super) struct Line {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// The interval of a fault, in seconds of the run.
pub(super) struct FaultSpan {
    pub(super) from: f64,
    pub(super) to: f64,
    pub(super) kind: String,
}

/// The content of a plot.
pub(super) struct Plot<'a> {
    pub(super) title: &'a str,
    pub(super) x_label: &'a str,
    pub(super) y_label: &'a str,
    /// Upper end of the vertical axis; by default slightly above the highest point.
    pub(super) top: Option<f64>,
    pub(super) lines: &'a [Line],
    pub(super) faults: &'a [FaultSpan],
}

type DrawingError = DrawingAreaErrorKind<std::io::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Error when drawing a plot.
#[derive(Debug, Error)]
#[error("cannot draw plot {title:?}: {source}")]
pub struct PlotError {
    /// The title of the plot.
    pub title: String,
    /// The cause.
    pub source: DrawingAreaErrorKind<std::io::Error>,
}

impl Plot<'_> {
    /// Draws the plot as an HTML `figure` element.
    pub(super) fn to_html(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            self.draw(&area).map_err(|source| PlotError {
                title: self.title.to_string(),
                source,
            })?;
        }
        Ok(format!("<figure>{svg}</figure>"))
    }

    fn points(&self) -> impl Iterator<Item = &(f64, f64)> {
        self.lines.iter().flat_map(|line| &line.points)
    }

    fn draw(&self, area: &Area<'_>) -> Result<(), DrawingError> {
        let right = self.points().map(|point| point.0).fold(1.0, f64::max);
        let highest = || self.points().map(|point| point.1).fold(1.0, f64::max);
        let top = self.top.unwrap_or_else(|| highest() * 1.05);
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 17))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(54)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        self.draw_faults(&mut chart, right, top)?;
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .light_line_style(WHITE)
            .bold_line_style(BLACK.mix(0.1))
            .draw()?;
        self.draw_lines(&mut chart)?;
        area.present()?;
        Ok(())
    }

    fn draw_faults(
        &self,
        chart: &mut Chart<'_, '_>,
        right: f64,
        top: f64,
    ) -> Result<(), DrawingError> {
        for fault in self.faults {
            // Faults without a duration are drawn with a minimum width.
            let to = fault.to.max(fault.from + right / 300.0).min(right);
            chart.draw_series([Rectangle::new(
                [(fault.from, 0.0), (to, top)],
                RGBColor(240, 170, 60).mix(0.22).filled(),
            )])?;
        }
        Ok(())
    }

    fn draw_lines<'a, 'b: 'a>(&self, chart: &mut Chart<'a, 'b>) -> Result<(), DrawingError> {
        for (index, line) in self.lines.iter().enumerate() {
            let color = COLORS[index % COLORS.len()];
            let points = line.points.iter().copied();
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(line.name.clone())
                .legend(move |(x, y)| {
                    PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
                });
        }
        if !self.lines.is_empty() {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::LowerRight)
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()?;
        }
        Ok(())
    }
}
