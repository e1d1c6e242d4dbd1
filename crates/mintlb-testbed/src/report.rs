//! The HTML report of a run: a single self-contained page with charts, events and violations.

use crate::audit::spending_attempts;
use crate::runner::RunResult;
use crate::scenario::{Budget, Scenario};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (1100, 300);
/// Attempts are counted over intervals of this length.
const INTERVAL_S: f64 = 0.5;

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

type DrawError = Box<dyn std::error::Error>;

/// A chart over time with one curve per process.
struct Chart<'a> {
    title: String,
    duration_s: f64,
    /// Upper end of the vertical axis.
    max: f64,
    /// Draws a horizontal line at the limit, if there is one.
    limit: Option<f64>,
    /// Times of faults, drawn as vertical lines.
    fault_times: &'a [f64],
}

impl Chart<'_> {
    /// Draws the curves stacked, the first process at the bottom. Each is a step function of (time, value).
    fn draw_stacked(&self, series: &BTreeMap<usize, Vec<(f64, f64)>>) -> Result<String, DrawError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .caption(&self.title, ("sans-serif", 16))
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..self.duration_s, 0.0..self.max)?;
            chart
                .configure_mesh()
                .light_line_style(WHITE)
                .x_labels(12)
                .y_labels(6)
                .draw()?;
            // Draws the sums from the top down, so that each area covers the lower part of the previous one.
            let grid: Vec<f64> = (0..=(self.duration_s / 0.1) as usize)
                .map(|i| i as f64 * 0.1)
                .collect();
            let value_at = |points: &[(f64, f64)], time: f64| {
                let next = points.partition_point(|(at, _)| *at <= time);
                if next == 0 { 0.0 } else { points[next - 1].1 }
            };
            let mut sums: Vec<f64> = grid
                .iter()
                .map(|s| series.values().map(|points| value_at(points, *s)).sum())
                .collect();
            for (process, points) in series.iter().rev() {
                let color = Palette99::pick(*process).filled();
                let curve = grid.iter().copied().zip(sums.iter().copied());
                chart.draw_series(AreaSeries::new(curve, 0.0, color))?;
                sums.iter_mut()
                    .zip(&grid)
                    .for_each(|(sum, s)| *sum -= value_at(points, *s));
            }
            if let Some(limit) = self.limit {
                chart.draw_series(LineSeries::new(
                    [(0.0, limit), (self.duration_s, limit)],
                    BLACK.stroke_width(2),
                ))?;
            }
            for fault_time in self.fault_times {
                chart.draw_series(LineSeries::new(
                    [(*fault_time, 0.0), (*fault_time, self.max)],
                    RED.mix(0.5),
                ))?;
            }
            area.present()?;
        }
        Ok(svg)
    }
}

/// The charts of one budget: shares, spending and refusals.
fn budget_charts(
    scenario: &Scenario,
    result: &RunResult,
    budget: &Budget,
    fault_times: &[f64],
) -> Result<String, DrawError> {
    let metric_series = |name: &str| {
        let name = format!("fleet.{}.{name}", budget.name);
        let mut series: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
        for sample in &result.samples {
            series
                .entry(sample.process)
                .or_default()
                .push((sample.at, sample.metric(&name).unwrap_or(0.0)));
        }
        series
    };
    let duration_s = scenario.duration_s;
    let shares_chart = Chart {
        title: format!(
            "{}: shares per second as reported by the processes (stacked; the line is the budget)",
            budget.name
        ),
        duration_s,
        max: budget.rate * 1.4,
        limit: Some(budget.rate),
        fault_times,
    };
    let mut spent: BTreeMap<usize, BTreeMap<u64, f64>> = BTreeMap::new();
    for attempt in spending_attempts(&result.observations, budget)
        .into_iter()
        .filter(|a| a.received_by >= 0.0)
    {
        *spent
            .entry(attempt.process)
            .or_default()
            .entry((attempt.received_by / INTERVAL_S) as u64)
            .or_default() += 1.0 / INTERVAL_S;
    }
    let intervals = (duration_s / INTERVAL_S) as u64;
    let spent: BTreeMap<usize, Vec<(f64, f64)>> = spent
        .into_iter()
        .map(|(p, counts)| {
            (
                p,
                (0..=intervals)
                    .map(|i| {
                        (
                            i as f64 * INTERVAL_S,
                            counts.get(&i).copied().unwrap_or(0.0),
                        )
                    })
                    .collect(),
            )
        })
        .collect();
    let max_sum = |series: &BTreeMap<usize, Vec<(f64, f64)>>| {
        let mut sums: BTreeMap<u64, f64> = BTreeMap::new();
        series
            .values()
            .flatten()
            .for_each(|(at, n)| *sums.entry((at / INTERVAL_S) as u64).or_default() += n);
        sums.values().copied().fold(budget.rate, f64::max)
    };
    let spending_chart = Chart {
        title: format!(
            "{}: spending per second as observed on the wire (over {INTERVAL_S} s, stacked)",
            budget.name
        ),
        duration_s,
        max: max_sum(&spent) * 1.2,
        limit: Some(budget.rate),
        fault_times,
    };
    let refused: BTreeMap<usize, Vec<(f64, f64)>> = metric_series("refused")
        .into_iter()
        .map(|(p, points)| {
            let steps = points
                .windows(2)
                .map(|w| (w[1].0, ((w[1].1 - w[0].1) / (w[1].0 - w[0].0)).max(0.0)));
            (p, steps.collect())
        })
        .collect();
    let refusals_chart = Chart {
        title: format!("{}: refusals per second (stacked)", budget.name),
        duration_s,
        max: refused
            .values()
            .map(|p| p.iter().map(|(_, n)| *n).fold(1.0, f64::max))
            .sum(),
        limit: None,
        fault_times,
    };
    Ok(shares_chart.draw_stacked(&metric_series("part"))?
        + &spending_chart.draw_stacked(&spent)?
        + &refusals_chart.draw_stacked(&refused)?)
}

/// One bar per process: whether it answered, held shares or was the coordinator.
fn status_chart(
    scenario: &Scenario,
    result: &RunResult,
    fault_times: &[f64],
) -> Result<String, DrawError> {
    let mut svg = String::new();
    {
        let process_count = scenario.processes;
        let area =
            SVGBackend::with_string(&mut svg, (CHART_SIZE.0, 80 + 18 * process_count as u32))
                .into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                "status: holds shares (green), shares expired (orange), coordinator (blue), no answer (grey)",
                ("sans-serif", 16),
            )
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..scenario.duration_s, 0.0..process_count as f64)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_labels(12)
            .y_labels(process_count.min(20))
            .draw()?;
        for process in 0..process_count {
            let own_samples: Vec<_> = result
                .samples
                .iter()
                .filter(|s| s.process == process)
                .collect();
            for (i, sample) in own_samples.iter().enumerate() {
                let to = own_samples
                    .get(i + 1)
                    .map_or(scenario.duration_s, |next| next.at)
                    .min(scenario.duration_s);
                let color = match (
                    sample.metric("fleet.divides"),
                    sample.metric("fleet.alone_s"),
                ) {
                    _ if sample.metrics.is_none() => RGBColor(190, 190, 190),
                    (Some(1.0), _) => RGBColor(50, 90, 200),
                    (_, Some(expired_s)) if expired_s > 0.0 => RGBColor(240, 150, 30),
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
        for fault_time in fault_times {
            chart.draw_series(LineSeries::new(
                [(*fault_time, 0.0), (*fault_time, process_count as f64)],
                RED.mix(0.5),
            ))?;
        }
        area.present()?;
    }
    Ok(svg)
}

/// Returns the report as HTML.
///
/// # Errors
///
/// If a chart cannot be drawn.
pub fn page(scenario: &Scenario, result: &RunResult) -> Result<String, String> {
    let draw = || -> Result<String, DrawError> {
        let fault_times: Vec<f64> = scenario.faults.iter().map(|fault| fault.at).collect();
        let mut page = String::from(
            "<!doctype html><meta charset=\"utf-8\"><style>body{font:14px sans-serif;margin:24px;max-width:1120px}\
             td{padding:2px 12px 2px 0}pre{background:#f4f4f4;padding:8px;overflow:auto}</style>",
        );
        let verdict = &result.verdict;
        let outcome = if verdict.holds() {
            "no violations"
        } else {
            "VIOLATIONS FOUND"
        };
        write!(
            page,
            "<title>{0}</title><h1>{0}, seed {1}: {outcome}</h1><table>",
            escape_html(&verdict.scenario),
            verdict.seed
        )?;
        let json = serde_json::to_value(verdict)?;
        for (key, value) in json.as_object().into_iter().flatten() {
            write!(page, "<tr><td>{key}<td>{}", escape_html(&value.to_string()))?;
        }
        page += "</table>";
        for (process, (datagrams, bytes)) in result.datagram_rates.iter().enumerate() {
            write!(
                page,
                "n{process} sent {datagrams:.1} datagrams and {bytes:.0} bytes per second. "
            )?;
        }
        page += "<h2>Budgets</h2>";
        for budget in &scenario.budgets {
            page += &budget_charts(scenario, result, budget, &fault_times)?;
        }
        page += &status_chart(scenario, result, &fault_times)?;
        page += "<p>Each process has a colour, n0 at the bottom; red lines are faults.</p><h2>Events</h2><pre>";
        for event in &result.observations.events {
            writeln!(page, "{:8.3} {}", event.at, escape_html(&event.description))?;
        }
        write!(
            page,
            "</pre><h2>Violations</h2><pre>{}</pre>",
            escape_html(&result.violations)
        )?;
        Ok(page)
    };
    draw().map_err(|e| format!("cannot draw the report: {e}"))
}
