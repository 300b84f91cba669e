//! Report as an SVG image.

use std::fmt::{
    self,
    Write as _, //
};

use crate::{
    report::worst_first,
    text,
    Alert,
    Row,
    WINDOWS, //
};

/// Maximum number of rows in an image.
pub const ROWS_MAX: usize = 30;

const WIDTH: usize = 1000;
const ROW_HEIGHT: usize = 24;
const HEADER_HEIGHT: usize = 84;
const FOOTER_HEIGHT: usize = 36;

/// Left edges of the columns.
const SERVICE_X: usize = 16;
const TEAM_X: usize = 168;
const OBJECTIVE_X: usize = 384;
const RATES_X: usize = 386;
const RATE_WIDTH: usize = 66;
const BAR_X: usize = 664;
const BAR_WIDTH: usize = 90;
const REMAINING_X: usize = 814;
const EXHAUSTION_X: usize = 912;
const ALERT_X: usize = 930;

/// Maximum number of characters of a name in its column. The tooltip shows the whole
/// name.
const NAME_CHARS: usize = 18;

/// Colours of the Okabe-Ito palette, which can be distinguished with all kinds of
/// colour vision, and grey. No information is conveyed by colour alone.
const GOOD: &str = "#56b4e9";
const WARNING: &str = "#e69f00";
const BAD: &str = "#d55e00";
const NO_DATA: &str = "#e8e8e8";

/// Renders a self-contained image of the worst [`ROWS_MAX`] rows, the worst first,
/// whatever the order of `rows`. A line below them shows how many rows are omitted.
pub fn svg(rows: &[Row]) -> String {
    let mut worst: Vec<&Row> = rows.iter().collect();
    worst.sort_by(|one, other| worst_first(one, other));
    worst.truncate(ROWS_MAX);
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write_image(&mut out, &worst, rows.len() - worst.len());
    out
}

fn write_image(out: &mut String, rows: &[&Row], omitted: usize) -> fmt::Result {
    let footer_y = HEADER_HEIGHT + rows.len() * ROW_HEIGHT;
    let height = footer_y + FOOTER_HEIGHT;
    writeln!(
        out,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         viewBox=\"0 0 {WIDTH} {height}\" font-family=\"sans-serif\" font-size=\"13\" \
         fill=\"#000000\" role=\"img\">"
    )?;
    writeln!(out, "<title>Error budgets and burn rates</title>")?;
    rect(out, (0, 0), (WIDTH, height), "#ffffff")?;
    header(out)?;
    for (index, row) in rows.iter().enumerate() {
        line(out, row, HEADER_HEIGHT + index * ROW_HEIGHT)?;
    }
    footer(out, rows.len(), omitted, footer_y + 22)?;
    writeln!(out, "</svg>")
}

fn header(out: &mut String) -> fmt::Result {
    writeln!(
        out,
        "<text x=\"{SERVICE_X}\" y=\"28\" font-size=\"18\">Error budgets and burn rates</text>"
    )?;
    let (upper, lower) = (52, 72);
    left_aligned(out, SERVICE_X, lower, "service")?;
    left_aligned(out, TEAM_X, lower, "team")?;
    right_aligned(out, OBJECTIVE_X, lower, "objective")?;
    left_aligned(out, RATES_X + 12, upper, "burn rate over")?;
    for (index, (_, name)) in WINDOWS.iter().enumerate() {
        right_aligned(out, rate_right(index), lower, name)?;
    }
    left_aligned(out, BAR_X, lower, "error budget left")?;
    right_aligned(out, EXHAUSTION_X, upper, "exhausted")?;
    right_aligned(out, EXHAUSTION_X, lower, "in")?;
    left_aligned(out, ALERT_X, lower, "alert")
}

fn line(out: &mut String, row: &Row, y: usize) -> fmt::Result {
    let base = y + 17;
    writeln!(out, "<g>")?;
    name(out, SERVICE_X, base, &row.service)?;
    name(out, TEAM_X, base, &row.team)?;
    right_aligned(out, OBJECTIVE_X, base, &text::objective(row))?;
    for (index, rate) in row.burn_rates().into_iter().enumerate() {
        let x = rate_right(index) - RATE_WIDTH + 12;
        rect(
            out,
            (x, y + 2),
            (RATE_WIDTH - 6, ROW_HEIGHT - 4),
            rate_colour(rate),
        )?;
        right_aligned(out, rate_right(index), base, &text::rate(rate))?;
    }
    bar(out, row, y + 4)?;
    right_aligned(out, REMAINING_X, base, &text::percent(row.budget_left))?;
    right_aligned(out, EXHAUSTION_X, base, &text::exhaustion(row.exhaustion))?;
    if let Some(alert) = row.alert() {
        rect(
            out,
            (ALERT_X - 4, y + 2),
            (60, ROW_HEIGHT - 4),
            colour(alert),
        )?;
    }
    left_aligned(out, ALERT_X, base, text::alert(row))?;
    writeln!(out, "</g>")
}

fn footer(out: &mut String, shown: usize, omitted: usize, y: usize) -> fmt::Result {
    let text = match (shown, omitted) {
        (0, _) => "no services to show".to_owned(),
        (_, 0) => "all rows shown, the worst first".to_owned(),
        (_, 1) => format!("the worst {shown} rows; 1 more row left out"),
        _ => format!("the worst {shown} rows; {omitted} more rows left out"),
    };
    left_aligned(out, SERVICE_X, y, &text)
}

fn bar(out: &mut String, row: &Row, y: usize) -> fmt::Result {
    let size = (BAR_WIDTH, ROW_HEIGHT - 8);
    rect(out, (BAR_X, y), size, NO_DATA)?;
    let Some(remaining) = row.budget_left else {
        return Ok(());
    };
    let width = (remaining.clamp(0.0, 1.0) * BAR_WIDTH as f64).round() as usize;
    rect(out, (BAR_X, y), (width, size.1), "#0072b2")
}

/// Returns the right edge of the text in a burn-rate column.
fn rate_right(index: usize) -> usize {
    RATES_X + (index + 1) * RATE_WIDTH - 10
}

/// Returns the background colour of a burn rate, by the thresholds of the alerts.
fn rate_colour(rate: Option<f64>) -> &'static str {
    let reaches = |alert: Alert| {
        rate.is_some_and(|rate| rate * 100.0 >= f64::from(alert.threshold_hundredths()))
    };
    match rate {
        None => NO_DATA,
        _ if reaches(Alert::Fast) => BAD,
        _ if reaches(Alert::Slow) => WARNING,
        Some(rate) if rate > 1.0 => "#f0e442",
        Some(_) => GOOD,
    }
}

fn colour(alert: Alert) -> &'static str {
    match alert {
        Alert::Fast => BAD,
        Alert::Slow => WARNING,
    }
}

fn rect(
    out: &mut String,
    (x, y): (usize, usize),
    (width, height): (usize, usize),
    fill: &str,
) -> fmt::Result {
    writeln!(
        out,
        "<rect x=\"{x}\" y=\"{y}\" width=\"{width}\" height=\"{height}\" fill=\"{fill}\"/>"
    )
}

fn left_aligned(out: &mut String, x: usize, y: usize, text: &str) -> fmt::Result {
    writeln!(out, "<text x=\"{x}\" y=\"{y}\">{}</text>", escaped(text))
}

fn right_aligned(out: &mut String, x: usize, y: usize, text: &str) -> fmt::Result {
    let text = escaped(text);
    writeln!(
        out,
        "<text x=\"{x}\" y=\"{y}\" text-anchor=\"end\">{text}</text>"
    )
}

/// Writes a name, truncated to its column, with the whole name as tooltip.
fn name(out: &mut String, x: usize, y: usize, name: &str) -> fmt::Result {
    if name.chars().count() <= NAME_CHARS {
        return left_aligned(out, x, y, name);
    }
    let mut short: String = name.chars().take(NAME_CHARS - 1).collect();
    short.push('…');
    let (short, whole) = (escaped(&short), escaped(name));
    writeln!(
        out,
        "<text x=\"{x}\" y=\"{y}\">{short}<title>{whole}</title></text>"
    )
}

/// Escapes text for XML. Characters that XML 1.0 forbids, even as references, are
/// replaced.
fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&apos;"),
            '\u{fffe}' | '\u{ffff}' => out.push('\u{fffd}'),
            c if c.is_control() => out.push('\u{fffd}'),
            c => out.push(c),
        }
    }
    out
}
