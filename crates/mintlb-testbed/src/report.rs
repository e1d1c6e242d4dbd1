//! The report: one page with all that it needs, for somebody who was not there.

use crate::audit::spends;
use crate::play::Played;
use crate::scenario::{Budget, Scenario};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const SIZE: (u32, u32) = (1100, 300);
/// Spends are counted over so many seconds.
const STEP: f64 = 0.5;

fn text(of: &str) -> String {
    of.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

type Failed = Box<dyn std::error::Error>;

/// A curve over the seconds, by process.
struct Plot<'a> {
    title: String,
    seconds: f64,
    /// The top of the scale, and a line that is not to be passed.
    top: f64,
    line: Option<f64>,
    marks: &'a [f64],
}

impl Plot<'_> {
    /// Stacked, the first process at the bottom.
    fn stacked(&self, by: &BTreeMap<usize, Vec<(f64, f64)>>) -> Result<String, Failed> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .caption(&self.title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..self.seconds, 0.0..self.top)?;
            chart
                .configure_mesh()
                .light_line_style(WHITE)
                .x_labels(12)
                .y_labels(6)
                .draw()?;
            // From the top down, each over what is above it.
            let grid: Vec<f64> = (0..=(self.seconds / 0.1) as usize)
                .map(|i| i as f64 * 0.1)
                .collect();
            let at = |points: &[(f64, f64)], second: f64| {
                let next = points.partition_point(|(at, _)| *at <= second);
                if next == 0 { 0.0 } else { points[next - 1].1 }
            };
            let mut sums: Vec<f64> = grid
                .iter()
                .map(|s| by.values().map(|points| at(points, *s)).sum())
                .collect();
            for (process, points) in by.iter().rev() {
                let color = Palette99::pick(*process).filled();
                let curve = grid.iter().copied().zip(sums.iter().copied());
                chart.draw_series(AreaSeries::new(curve, 0.0, color))?;
                sums.iter_mut()
                    .zip(&grid)
                    .for_each(|(sum, s)| *sum -= at(points, *s));
            }
            if let Some(line) = self.line {
                chart.draw_series(LineSeries::new(
                    [(0.0, line), (self.seconds, line)],
                    BLACK.stroke_width(2),
                ))?;
            }
            for mark in self.marks {
                chart.draw_series(LineSeries::new(
                    [(*mark, 0.0), (*mark, self.top)],
                    RED.mix(0.5),
                ))?;
            }
            area.present()?;
        }
        Ok(svg)
    }
}

fn budget(
    scenario: &Scenario,
    played: &Played,
    budget: &Budget,
    marks: &[f64],
) -> Result<String, Failed> {
    let figure = |name: &str| {
        let name = format!("fleet.{}.{name}", budget.name);
        let mut by: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
        for sample in &played.samples {
            by.entry(sample.process)
                .or_default()
                .push((sample.at, sample.figure(&name).unwrap_or(0.0)));
        }
        by
    };
    let seconds = scenario.seconds;
    let parts = Plot {
        title: format!(
            "{}: parts, a second, as the processes say (stacked; the line is the whole)",
            budget.name
        ),
        seconds,
        top: budget.rate * 1.4,
        line: Some(budget.rate),
        marks,
    };
    let mut spent: BTreeMap<usize, BTreeMap<u64, f64>> = BTreeMap::new();
    for sent in spends(&played.seen, budget)
        .into_iter()
        .filter(|s| s.by >= 0.0)
    {
        *spent
            .entry(sent.process)
            .or_default()
            .entry((sent.by / STEP) as u64)
            .or_default() += 1.0 / STEP;
    }
    let steps = (seconds / STEP) as u64;
    let spent: BTreeMap<usize, Vec<(f64, f64)>> = spent
        .into_iter()
        .map(|(p, by)| {
            (
                p,
                (0..=steps)
                    .map(|i| (i as f64 * STEP, by.get(&i).copied().unwrap_or(0.0)))
                    .collect(),
            )
        })
        .collect();
    let most = |by: &BTreeMap<usize, Vec<(f64, f64)>>| {
        let mut sums: BTreeMap<u64, f64> = BTreeMap::new();
        by.values()
            .flatten()
            .for_each(|(at, n)| *sums.entry((at / STEP) as u64).or_default() += n);
        sums.values().copied().fold(budget.rate, f64::max)
    };
    let spending = Plot {
        title: format!(
            "{}: spends a second, as seen on the wire (over {STEP} s, stacked)",
            budget.name
        ),
        seconds,
        top: most(&spent) * 1.2,
        line: Some(budget.rate),
        marks,
    };
    let refused: BTreeMap<usize, Vec<(f64, f64)>> = figure("refused")
        .into_iter()
        .map(|(p, points)| {
            let steps = points
                .windows(2)
                .map(|w| (w[1].0, ((w[1].1 - w[0].1) / (w[1].0 - w[0].0)).max(0.0)));
            (p, steps.collect())
        })
        .collect();
    let refusing = Plot {
        title: format!(
            "{}: looks a second that found nothing (stacked)",
            budget.name
        ),
        seconds,
        top: refused
            .values()
            .map(|p| p.iter().map(|(_, n)| *n).fold(1.0, f64::max))
            .sum(),
        line: None,
        marks,
    };
    Ok(parts.stacked(&figure("part"))?
        + &spending.stacked(&spent)?
        + &refusing.stacked(&refused)?)
}

/// A bar for each process: whether it answered, held parts or divided.
fn standing(scenario: &Scenario, played: &Played, marks: &[f64]) -> Result<String, Failed> {
    let mut svg = String::new();
    {
        let n = scenario.processes;
        let area =
            SVGBackend::with_string(&mut svg, (SIZE.0, 80 + 18 * n as u32)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                "standing: holds (green), lapsed (orange), divides (blue), silent (grey)",
                ("sans-serif", 16),
            )
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..scenario.seconds, 0.0..n as f64)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_labels(12)
            .y_labels(n.min(20))
            .draw()?;
        for process in 0..n {
            let own: Vec<_> = played
                .samples
                .iter()
                .filter(|s| s.process == process)
                .collect();
            for (i, sample) in own.iter().enumerate() {
                let to = own
                    .get(i + 1)
                    .map_or(scenario.seconds, |next| next.at)
                    .min(scenario.seconds);
                let color = match (
                    sample.figure("fleet.divides"),
                    sample.figure("fleet.alone_s"),
                ) {
                    _ if sample.figures.is_none() => RGBColor(190, 190, 190),
                    (Some(1.0), _) => RGBColor(50, 90, 200),
                    (_, Some(alone)) if alone > 0.0 => RGBColor(240, 150, 30),
                    _ => RGBColor(60, 160, 80),
                };
                let (low, high) = (process as f64 + 0.12, process as f64 + 0.88);
                let bar = Rectangle::new(
                    [(sample.at.max(0.0), low), (to.max(0.0), high)],
                    color.filled(),
                );
                chart.draw_series([bar])?;
            }
        }
        for mark in marks {
            chart.draw_series(LineSeries::new(
                [(*mark, 0.0), (*mark, n as f64)],
                RED.mix(0.5),
            ))?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// The page, or what could not be drawn.
pub fn page(scenario: &Scenario, played: &Played) -> Result<String, String> {
    let draw = || -> Result<String, Failed> {
        let marks: Vec<f64> = scenario.faults.iter().map(|fault| fault.at).collect();
        let mut page = String::from(
            "<!doctype html><meta charset=\"utf-8\"><style>body{font:14px sans-serif;margin:24px;max-width:1120px}\
             td{padding:2px 12px 2px 0}pre{background:#f4f4f4;padding:8px;overflow:auto}</style>",
        );
        let v = &played.verdict;
        let held = if v.holds() {
            "the audit holds"
        } else {
            "the audit does NOT hold"
        };
        write!(
            page,
            "<title>{0}</title><h1>{0}, seed {1}: {held}</h1><table>",
            text(&v.scenario),
            v.seed
        )?;
        let json = serde_json::to_value(v)?;
        for (key, value) in json.as_object().into_iter().flatten() {
            write!(page, "<tr><td>{key}<td>{}", text(&value.to_string()))?;
        }
        page += "</table>";
        for (process, (words, bytes)) in played.words.iter().enumerate() {
            write!(
                page,
                "n{process} sent {words:.1} words and {bytes:.0} bytes a second. "
            )?;
        }
        page += "<h2>Budgets</h2>";
        for of in &scenario.budgets {
            page += &budget(scenario, played, of, &marks)?;
        }
        page += &standing(scenario, played, &marks)?;
        page += "<p>Colours go by process, n0 at the bottom; red lines are faults.</p><h2>What was done</h2><pre>";
        for mark in &played.seen.marks {
            writeln!(page, "{:8.3} {}", mark.at, text(&mark.what))?;
        }
        write!(
            page,
            "</pre><h2>Breaches</h2><pre>{}</pre>",
            text(&played.story)
        )?;
        Ok(page)
    };
    draw().map_err(|e| format!("the report can't be drawn: {e}"))
}
