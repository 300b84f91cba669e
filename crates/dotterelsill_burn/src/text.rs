//! Report as a plain-text table, and the formats of its values.

use std::time::Duration;

use crate::{
    Exhaustion,
    Row,
    WINDOWS, //
};

/// Headings of the columns before those of the windows.
const LEADING_HEADINGS: [&str; 3] = ["SERVICE", "TEAM", "OBJECTIVE"];

/// Headings of the columns after those of the windows.
const TRAILING_HEADINGS: [&str; 4] = ["BUDGET LEFT", "EXHAUSTED IN", "HISTORY", "ALERT"];

/// Number of leading columns that contain text and are left-aligned.
const TEXT_COLUMNS: usize = 2;

/// Renders a table with a line of headings and one line for each row.
///
/// Control characters in names are escaped, so that a name cannot break the table
/// or control the terminal.
pub fn text_table(rows: &[Row]) -> String {
    let mut lines = vec![headings()];
    lines.extend(rows.iter().map(cells));
    let widths = widths(&lines);
    lines
        .iter()
        .map(|line| format_line(line, &widths))
        .collect()
}

/// Formats a burn rate, or `-` without requests.
pub(crate) fn rate(rate: Option<f64>) -> String {
    match rate {
        None => "-".to_owned(),
        Some(rate) if rate >= 100.0 => format!("{rate:.0}"),
        Some(rate) => format!("{rate:.2}"),
    }
}

/// Formats a ratio in percent, or `-` without requests.
pub(crate) fn percent(ratio: Option<f64>) -> String {
    match ratio {
        None => "-".to_owned(),
        Some(ratio) if ratio <= -10.0 => "< -999%".to_owned(),
        Some(ratio) => format!("{:.1}%", ratio * 100.0),
    }
}

/// Formats the objective of a row in percent, without rounding.
pub(crate) fn objective(row: &Row) -> String {
    let ppm = row.objective.good_ppm();
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    let shortest = text.trim_end_matches('0').trim_end_matches('.');
    format!("{shortest}%")
}

/// Formats the time until the budget is exhausted.
pub(crate) fn exhaustion(exhaustion: Exhaustion) -> String {
    match exhaustion {
        Exhaustion::Now => "used up".to_owned(),
        Exhaustion::After(time) => duration(time),
        Exhaustion::BeyondPeriod => "over 30 d".to_owned(),
        Exhaustion::Unknown => "-".to_owned(),
    }
}

/// Formats a duration in its two largest units, rounded down.
pub(crate) fn duration(time: Duration) -> String {
    let minutes = time.as_secs() / 60;
    let (days, hours) = (minutes / 1440, minutes / 60 % 24);
    if days > 0 {
        return format!("{days} d {hours} h");
    }
    if hours > 0 {
        return format!("{hours} h {} min", minutes % 60);
    }
    format!("{minutes} min")
}

/// Returns the name of the most urgent active alert, or `-`.
pub(crate) fn alert(row: &Row) -> &'static str {
    row.alert().map_or("-", |alert| alert.name())
}

fn headings() -> Vec<String> {
    let windows = WINDOWS.iter().map(|(_, name)| name.to_uppercase());
    let first = LEADING_HEADINGS.iter().map(|name| (*name).to_owned());
    let last = TRAILING_HEADINGS.iter().map(|name| (*name).to_owned());
    first.chain(windows).chain(last).collect()
}

fn cells(row: &Row) -> Vec<String> {
    let mut cells = vec![escaped(&row.service), escaped(&row.team), objective(row)];
    cells.extend(row.burn_rates().map(rate));
    cells.push(percent(row.budget_left));
    cells.push(exhaustion(row.exhaustion));
    cells.push(duration(row.history));
    cells.push(alert(row).to_owned());
    cells
}

fn escaped(name: &str) -> String {
    name.escape_debug().to_string()
}

fn widths(lines: &[Vec<String>]) -> Vec<usize> {
    let mut widths = vec![0; lines[0].len()];
    for line in lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = cell.chars().count().max(*width);
        }
    }
    widths
}

fn format_line(line: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (column, (cell, &width)) in line.iter().zip(widths).enumerate() {
        let padded = if column < TEXT_COLUMNS || column + 1 == widths.len() {
            format!("{cell:<width$}  ")
        } else {
            format!("{cell:>width$}  ")
        };
        text.push_str(&padded);
    }
    format!("{}\n", text.trim_end())
}
