//! Snapshots of the findings, with one small bad text per rule.

use std::{
    fs,
    path::Path, //
};

use dotterelsill_config::{
    parse,
    Finding,
    Severity,
    MAX_FINDINGS,
    MAX_TEXT_BYTES, //
};

/// Returns the findings of a text, whether or not it is accepted.
fn findings(text: &str) -> Vec<Finding> {
    match parse(text) {
        Ok(checked) => checked.warnings().to_vec(),
        Err(findings) => findings,
    }
}

/// Guards against a rule that no longer finds its fault, names another place, or
/// gives another fix. A text's name begins with its rule's name.
#[test]
fn bad_texts() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/texts/bad");
    let mut texts: Vec<_> = fs::read_dir(&folder)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    texts.retain(|path| path.extension().is_some_and(|e| e == "yaml"));
    texts.sort();
    assert!(texts.len() >= 31, "only {} texts", texts.len());
    for path in texts {
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let text = fs::read_to_string(&path).unwrap();
        let findings = findings(&text);
        let names_rule = findings.iter().any(|f| name.starts_with(f.rule));
        assert!(names_rule || name == "mixed", "{name}: {findings:?}");
        let refused = findings.iter().any(|f| f.severity == Severity::Error);
        assert_eq!(refused, parse(&text).is_err(), "{name}");
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        let mut settings = insta::Settings::clone_current();
        settings.set_snapshot_path("texts/bad");
        settings.set_prepend_module_to_snapshot(false);
        settings.set_omit_expression(true);
        settings.bind(|| insta::assert_snapshot!(name, lines.join("\n")));
    }
}

/// Guards against a text that the store cannot hold together with its keys.
#[test]
fn text_size() {
    let longest = format!("teams: [] #{}", "x".repeat(MAX_TEXT_BYTES - 11));
    assert_eq!(longest.len(), MAX_TEXT_BYTES);
    assert!(parse(&longest).is_ok());
    let findings = parse(&format!("{longest}x")).unwrap_err();
    insta::assert_snapshot!(findings[0].to_string(), @"1:1: error [text-size] the text has 900001 bytes, at most 900000 are stored; shorten it, comments and repeated values first");
}

/// Guards against a list of findings without bound, and against warnings that
/// push the errors out of it.
#[test]
fn many_findings() {
    let mut text = String::from("data_centres:\n");
    for i in 0..MAX_FINDINGS * 2 {
        text.push_str(&format!("  - name: north-{i}\n"));
    }
    let warnings = findings(&text);
    assert_eq!(warnings.len(), MAX_FINDINGS);
    assert!(parse(&text).is_ok());
    text.push_str("teams:\n  - {name: depots}\n");
    let findings = parse(&text).unwrap_err();
    assert_eq!(findings.len(), MAX_FINDINGS);
    assert!(findings.iter().any(|f| f.rule == "zero"), "{findings:?}");
    let last = findings.last().unwrap();
    assert_eq!(last.rule, "more-findings");
    insta::assert_snapshot!(last.to_string(), @"203:5: warning [more-findings] 102 more findings are not shown; fix those shown and check the text again");
}

/// Guards against a rule that is off by one at its bound.
#[test]
fn bounds_that_are_allowed() {
    let team = "teams: [{name: t, share_percent: 100, floor_requests: 5, limit_requests: 5}]";
    for text in [
        "isolation_limit_s: 1800",
        "isolation_limit_s: 0",
        team,
        "services: [{name: s, availability_floor_percent: 100}]",
    ] {
        let checked = parse(text).unwrap();
        assert_eq!(checked.warnings(), [], "{text}");
    }
}
