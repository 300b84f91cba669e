//! Figures as a picture.

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

/// Most rows in a picture.
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
const LEFT_X: usize = 814;
const EXHAUSTION_X: usize = 912;
const ALERT_X: usize = 930;

/// Most characters of a name that fit a column; the rest is in its tooltip.
const NAME_CHARS: usize = 18;

/// Colours of Okabe and Ito, which all kinds of colour vision tell apart, and
/// white and grey. No meaning depends on a colour alone.
const GOOD: &str = "#56b4e9";
const WARNING: &str = "#e69f00";
const BAD: &str = "#d55e00";
const NONE: &str = "#e8e8e8";

/// Returns a self-contained picture of at most [`ROWS_MAX`] rows, the worst
/// first, in any order of `rows`. A line below them says how many rows were
/// left out.
pub fn svg(rows: &[Row]) -> String {
    let mut worst: Vec<&Row> = rows.iter().collect();
    worst.sort_by(|one, other| worst_first(one, other));
    worst.truncate(ROWS_MAX);
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = picture(&mut out, &worst, rows.len() - worst.len());
    out
}

fn picture(out: &mut String, rows: &[&Row], left_out: usize) -> fmt::Result {
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
    footer(out, rows.len(), left_out, footer_y + 22)?;
    writeln!(out, "</svg>")
}

fn header(out: &mut String) -> fmt::Result {
    writeln!(
        out,
        "<text x=\"{SERVICE_X}\" y=\"28\" font-size=\"18\">Error budgets and burn rates</text>"
    )?;
    let (upper, lower) = (52, 72);
    left(out, SERVICE_X, lower, "service")?;
    left(out, TEAM_X, lower, "team")?;
    right(out, OBJECTIVE_X, lower, "objective")?;
    left(out, RATES_X + 12, upper, "burn rate over")?;
    for (index, (_, name)) in WINDOWS.iter().enumerate() {
        right(out, rate_right(index), lower, name)?;
    }
    left(out, BAR_X, lower, "error budget left")?;
    right(out, EXHAUSTION_X, upper, "exhausted")?;
    right(out, EXHAUSTION_X, lower, "in")?;
    left(out, ALERT_X, lower, "alert")
}

fn line(out: &mut String, row: &Row, y: usize) -> fmt::Result {
    let base = y + 17;
    writeln!(out, "<g>")?;
    name(out, SERVICE_X, base, &row.service)?;
    name(out, TEAM_X, base, &row.team)?;
    right(out, OBJECTIVE_X, base, &text::objective(row))?;
    for (index, rate) in row.burn_rates().into_iter().enumerate() {
        let x = rate_right(index) - RATE_WIDTH + 12;
        rect(
            out,
            (x, y + 2),
            (RATE_WIDTH - 6, ROW_HEIGHT - 4),
            shade(rate),
        )?;
        right(out, rate_right(index), base, &text::rate(rate))?;
    }
    bar(out, row, y + 4)?;
    right(out, LEFT_X, base, &text::percent(row.budget_left))?;
    right(out, EXHAUSTION_X, base, &text::exhaustion(row.exhaustion))?;
    if let Some(alert) = row.alert() {
        rect(
            out,
            (ALERT_X - 4, y + 2),
            (60, ROW_HEIGHT - 4),
            colour(alert),
        )?;
    }
    left(out, ALERT_X, base, text::alert(row))?;
    writeln!(out, "</g>")
}

fn footer(out: &mut String, shown: usize, left_out: usize, y: usize) -> fmt::Result {
    let text = match (shown, left_out) {
        (0, _) => "no services to show".to_owned(),
        (_, 0) => "all rows shown, the worst first".to_owned(),
        (_, 1) => format!("the worst {shown} rows; 1 more row left out"),
        _ => format!("the worst {shown} rows; {left_out} more rows left out"),
    };
    left(out, SERVICE_X, y, &text)
}

fn bar(out: &mut String, row: &Row, y: usize) -> fmt::Result {
    let size = (BAR_WIDTH, ROW_HEIGHT - 8);
    rect(out, (BAR_X, y), size, NONE)?;
    let Some(part) = row.budget_left else {
        return Ok(());
    };
    let width = (part.clamp(0.0, 1.0) * BAR_WIDTH as f64).round() as usize;
    rect(out, (BAR_X, y), (width, size.1), "#0072b2")
}

/// Returns the right edge of the text of a burn rate.
fn rate_right(index: usize) -> usize {
    RATES_X + (index + 1) * RATE_WIDTH - 10
}

/// Returns the background of a burn rate, by the thresholds of the alerts.
fn shade(rate: Option<f64>) -> &'static str {
    let reaches = |alert: Alert| {
        rate.is_some_and(|rate| rate * 100.0 >= f64::from(alert.threshold_hundredths()))
    };
    match rate {
        None => NONE,
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

fn left(out: &mut String, x: usize, y: usize, text: &str) -> fmt::Result {
    writeln!(out, "<text x=\"{x}\" y=\"{y}\">{}</text>", escaped(text))
}

fn right(out: &mut String, x: usize, y: usize, text: &str) -> fmt::Result {
    let text = escaped(text);
    writeln!(
        out,
        "<text x=\"{x}\" y=\"{y}\" text-anchor=\"end\">{text}</text>"
    )
}

/// Writes a name, shortened to its column, with the whole name as tooltip.
fn name(out: &mut String, x: usize, y: usize, name: &str) -> fmt::Result {
    if name.chars().count() <= NAME_CHARS {
        return left(out, x, y, name);
    }
    let mut short: String = name.chars().take(NAME_CHARS - 1).collect();
    short.push('…');
    let (short, whole) = (escaped(&short), escaped(name));
    writeln!(
        out,
        "<text x=\"{x}\" y=\"{y}\">{short}<title>{whole}</title></text>"
    )
}

/// Returns text as XML. Characters that XML 1.0 forbids, even as references,
/// are replaced.
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
