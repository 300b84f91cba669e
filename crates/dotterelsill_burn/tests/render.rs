//! Rendering of the text table and the SVG image.

use std::time::Duration;

use dotterelsill_burn::{
    svg,
    text_table,
    AlertState,
    Counts,
    Exhaustion,
    Objective,
    Row,
    ROWS_MAX, //
};

fn row(service: &str, errors: u64, budget_left: f64) -> Row {
    let windows = [20, 12, 5, 1].map(|part| Counts {
        errors: errors * part,
        total: 100_000,
    });
    Row {
        service: service.to_owned(),
        team: "Kiosks".to_owned(),
        objective: Objective::new(999_000).expect("valid"),
        windows,
        budget_left: Some(budget_left),
        exhaustion: Exhaustion::After(Duration::from_secs(100_000)),
        history: Duration::from_secs(9 * 24 * 3600),
        alerts: [AlertState::Inactive; 2],
    }
}

fn rows() -> Vec<Row> {
    let mut fast = row("refund", 200, 0.42);
    fast.alerts = [AlertState::Active, AlertState::Active];
    let mut slow = row("permit", 70, -0.3);
    slow.alerts[1] = AlertState::Active;
    slow.exhaustion = Exhaustion::Now;
    let mut idle = row("sorting-reports-of-the-night", 0, 1.0);
    idle.windows = [Counts::default(); 4];
    idle.budget_left = None;
    idle.exhaustion = Exhaustion::Unknown;
    let mut good = row("<b>&\"audit\"\n", 3, 0.97);
    good.exhaustion = Exhaustion::BeyondPeriod;
    vec![fast, slow, good, idle]
}

/// Guards against unnoticed changes of the table, and against names that break its
/// lines.
#[test]
fn table() {
    insta::assert_snapshot!(text_table(&rows()));
}

/// Guards against unnoticed changes of the image, and against names that close its
/// elements.
#[test]
fn picture() {
    insta::assert_snapshot!(svg(&rows()));
}

/// Guards against a failure to render a report without rows.
#[test]
fn empty_table_and_picture() {
    assert_eq!(text_table(&[]).lines().count(), 1);
    assert!(svg(&[]).contains("no services to show"));
}

/// Guards against an image of unbounded size, one that omits the worst rows, and one
/// that does not show that rows are omitted.
#[test]
fn picture_shows_the_worst_rows() {
    let one = svg(&rows()[..1]);
    assert!(one.contains("all rows shown"));
    let many: Vec<Row> = (0..100)
        .map(|index| row(&format!("service-{index}"), 1, f64::from(index) / 100.0))
        .collect();
    let picture = svg(&many);
    assert_eq!(picture.matches("<g>").count(), ROWS_MAX);
    assert!(picture.contains(">service-0<") && picture.contains(">service-29<"));
    assert!(!picture.contains(">service-30<"));
    assert!(picture.contains("the worst 30 rows; 70 more rows left out"));
}

/// Guards against references to external resources, unclosed elements and rectangles
/// outside the image.
#[test]
fn picture_is_well_formed_and_self_contained() {
    let picture = svg(&rows());
    for reference in ["href", "url(", "@import", "<script", "<image", "<style"] {
        assert!(!picture.contains(reference), "{reference}");
    }
    let mut open = Vec::new();
    for tag in picture.split('<').skip(1) {
        let (tag, text) = tag.split_once('>').unwrap();
        let name = tag.split(' ').next().unwrap();
        assert!(!text.contains('>') && !text.chars().any(|c| c.is_control() && c != '\n'));
        match name.strip_prefix('/') {
            Some(name) => assert_eq!(open.pop(), Some(name)),
            None if tag.ends_with('/') => assert_inside(tag),
            None => open.push(name),
        }
    }
    assert!(open.is_empty());
}

/// Asserts that a rectangle does not exceed the width of the image.
fn assert_inside(rect: &str) {
    let value = |name: &str| -> usize {
        let (_, value) = rect.split_once(&format!(" {name}=\"")).expect("attribute");
        let (value, _) = value.split_once('"').expect("closing quote");
        value.parse().expect("number")
    };
    assert!(value("x") + value("width") <= 1000, "{rect}");
}
