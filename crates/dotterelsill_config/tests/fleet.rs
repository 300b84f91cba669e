//! Lookups, explanation and differences of a valid fleet of realistic size.

use dotterelsill_config::{
    diff,
    diff_text,
    explain,
    parse,
    serves_isolated,
    CheckedFleet,
    DEFAULT_ISOLATION_LIMIT_S, //
};

const GOOD: &str = include_str!("texts/good.yaml");
const CHANGED: &str = include_str!("texts/good-changed.yaml");

/// Parses a text and asserts that it has no findings.
fn checked(text: &str) -> CheckedFleet {
    let checked = parse(text).expect("the text is good");
    assert_eq!(checked.warnings(), []);
    checked
}

/// Guards against a valid text that is rejected or only partly parsed, and against
/// lookups that return another record than the one named.
#[test]
fn lookups() {
    let checked = checked(GOOD);
    let fleet = checked.fleet();
    let sizes = (
        fleet.data_centres.len(),
        fleet.services.len(),
        fleet.teams.len(),
    );
    assert_eq!(sizes, (3, 5, 6));
    for service in &fleet.services {
        assert!((8..=12).contains(&service.upstreams.len()));
        assert_eq!(checked.service(&service.name), Some(service));
    }
    for queue in &fleet.queues {
        assert_eq!(checked.queue(&queue.name), Some(queue));
    }
    for team in &fleet.teams {
        assert_eq!(checked.team(&team.name), Some(team));
    }
    for data_centre in &fleet.data_centres {
        assert_eq!(checked.data_centre(&data_centre.name), Some(data_centre));
    }
    assert_eq!(checked.queue("Refund"), None);
}

/// Guards against a missing isolation limit that is parsed as 0, which would stop
/// all work after 3 s without contact, and against an explicit 0 that is replaced
/// by the default.
#[test]
fn isolation_limit_default() {
    let limit = |text| checked(text).fleet().isolation_limit_s;
    assert_eq!(limit("teams: []"), DEFAULT_ISOLATION_LIMIT_S);
    assert_eq!(limit("isolation_limit_s: 0"), 0);
    assert_eq!(limit("\"isolation_limit_s\": 0"), 0);
    assert_eq!(limit("{? \"isolation\\x5flimit_s\" : 0}"), 0);
    assert_eq!(limit("\u{feff}isolation_limit_s: 0"), 0);
}

/// Guards against serving non-repeatable work during isolation without an explicit
/// `when_isolated: serve`.
#[test]
fn served_while_isolated() {
    let checked = checked(GOOD);
    let served = |name| serves_isolated(checked.queue(name).unwrap());
    assert!(served("leak-scan") && served("permit") && served("sorting"));
    assert!(!served("refund") && !served("booking") && !served("cell-log"));
}

/// Guards against an alias whose value differs from its anchor's, or that is
/// rejected although the expanded text is small.
#[test]
fn small_aliases() {
    let text =
        "teams:\n  - &first {name: a, limit_requests: &l 7}\n  - {name: b, limit_requests: *l}\n";
    let checked = checked(text);
    assert_eq!(checked.team("b").unwrap().limit_requests, 7);
    let findings = parse(&format!("{text}  - *first\n")).unwrap_err();
    assert_eq!(findings[0].rule, "name-duplicate");
    assert_eq!(findings[0].path, "teams[2].name");
}

/// Guards against unnoticed changes of the explanation, which has to state exactly
/// the guarantees of the protocol.
#[test]
fn explanation() {
    insta::assert_snapshot!("explain_good", explain(&checked(GOOD)));
    let zero_limit = GOOD.replace("isolation_limit_s: 900", "isolation_limit_s: 0");
    insta::assert_snapshot!("explain_stale", explain(&checked(&zero_limit)));
}

/// Guards against a change that `apply --dry-run` omits, and against a lowered limit
/// that is not marked.
#[test]
fn differences() {
    let (old, new) = (checked(GOOD), checked(CHANGED));
    let changes = diff(&old, &new);
    insta::assert_snapshot!("diff", diff_text(&changes));
    let lowered: Vec<&str> = changes
        .iter()
        .filter(|c| c.lowers_limit)
        .map(|c| &*c.path)
        .collect();
    assert_eq!(lowered, ["teams[kiosks].limit_requests", "teams[partners]"]);
    assert_eq!(diff(&old, &new).len(), diff(&new, &old).len());
    assert_eq!(diff_text(&diff(&old, &old)), "no changes\n");
}

/// Guards against reporting a change of order as a difference.
#[test]
fn order_does_not_matter() {
    let a = "services: [{name: a, depends_on: [b, c]}, {name: b}, {name: c}]";
    let b = "services: [{name: c}, {name: b}, {name: a, depends_on: [c, b]}]";
    assert_eq!(diff(&checked(a), &checked(b)), []);
}
