//! Snapshots of the findings, with at least one small invalid text per rule.

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

/// Returns the findings of a text: the errors and warnings of a rejected one, the
/// warnings of an accepted one.
fn findings(text: &str) -> Vec<Finding> {
    match parse(text) {
        Ok(checked) => checked.warnings().to_vec(),
        Err(findings) => findings,
    }
}

/// Guards against a rule that no longer detects its problem, reports another
/// position or suggests another fix. The name of each text starts with the name
/// of its rule.
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
        let has_rule = findings.iter().any(|f| name.starts_with(f.rule));
        assert!(has_rule || name == "mixed", "{name}: {findings:?}");
        let is_rejected = findings.iter().any(|f| f.severity == Severity::Error);
        assert_eq!(is_rejected, parse(&text).is_err(), "{name}");
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        let mut settings = insta::Settings::clone_current();
        settings.set_snapshot_path("texts/bad");
        settings.set_prepend_module_to_snapshot(false);
        settings.set_omit_expression(true);
        settings.bind(|| insta::assert_snapshot!(name, lines.join("\n")));
    }
}

/// Guards against accepting a text that, together with the key hashes, is too
/// large for the store.
#[test]
fn text_size() {
    let longest = format!("teams: [] #{}", "x".repeat(MAX_TEXT_BYTES - 11));
    assert_eq!(longest.len(), MAX_TEXT_BYTES);
    assert!(parse(&longest).is_ok());
    let findings = parse(&format!("{longest}x")).unwrap_err();
    insta::assert_snapshot!(findings[0].to_string(), @"1:1: error [text-size] the text has 900001 bytes, but at most 900000 can be stored; shorten it, starting with comments and repeated values");
}

/// Guards against an unbounded list of findings, and against warnings that displace
/// the errors from it.
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

/// Guards against rules that reject their highest or lowest allowed value.
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
