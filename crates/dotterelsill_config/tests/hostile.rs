//! Malicious and damaged texts must not cause a panic, and their time and memory
//! must stay bounded.
//!
//! All random cases are generated from fixed seeds.

use std::time::{
    Duration,
    Instant, //
};

use dotterelsill_config::{
    explain,
    parse,
    MAX_FINDINGS,
    MAX_TEXT_BYTES, //
};
use dotterelsill_proto::config::Fleet;
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        RngSeed,
        TestRunner, //
    }, //
};

const GOOD: &str = include_str!("texts/good.yaml");

/// Maximum time to parse one text of any size in a debug build. The measured times
/// are far below, so that a slow machine does not fail the test.
const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Checks a property for a fixed number of cases from a fixed seed.
fn run<S: Strategy>(seed: u64, cases: u32, strategy: S, property: impl Fn(S::Value)) {
    println!("seed {seed}, {cases} cases");
    let mut runner = TestRunner::new(Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    });
    let result = runner.run(&strategy, |value| {
        property(value);
        Ok(())
    });
    result.expect("the property holds for all cases");
}

/// Parses a text and checks that the result is well formed. The fleet of an accepted
/// text equals what the deserializer returns for the text.
fn check(text: &str) {
    match parse(text) {
        Ok(checked) => {
            let read: Fleet = serde_saphyr::from_str(text).expect("the text was accepted");
            let isolation_limit_s = checked.fleet().isolation_limit_s;
            assert!([read.isolation_limit_s, 900].contains(&isolation_limit_s));
            let read = Fleet {
                isolation_limit_s,
                ..read
            };
            assert_eq!(&read, checked.fleet());
            explain(&checked);
        }
        Err(findings) => {
            assert!((1..=MAX_FINDINGS).contains(&findings.len()));
            // A carriage return is a line break in YAML, too.
            let lines = text.matches(['\n', '\r']).count() + 1;
            for finding in &findings {
                assert!(finding.line >= 1 && finding.column >= 1, "{finding}");
                assert!(finding.line <= lines, "{finding}");
                assert!(!finding.to_string().contains('\n'), "{finding}");
            }
            let positions: Vec<_> = findings.iter().map(|f| (f.line, f.column)).collect();
            assert!(positions.is_sorted(), "{findings:?}");
        }
    }
}

/// Returns the first data centre, team, service and queue of the valid text, which
/// is short enough to test its truncation at each byte.
fn short_text() -> String {
    let mut text = String::from("isolation_limit_s: 60\n");
    for (from, to) in [
        ("data_centres:", "  - name: akureyri"),
        ("teams:", "  - name: drivers"),
        ("services:", "      - name: refund-check-3"),
        ("queues:", "  - name: refund\n"),
    ] {
        let part = &GOOD[GOOD.find(from).expect("the good text has the part")..];
        text.push_str(&part[..part.find(to).expect("the good text has the part")]);
    }
    text
}

/// Guards against a panic on a truncated text.
#[test]
fn cut_at_every_byte() {
    let text = short_text();
    assert!(text.len() > 1_000);
    for end in 0..text.len() {
        if text.is_char_boundary(end) {
            check(&text[..end]);
        }
    }
}

/// Guards against a panic on bytes that are not YAML. The caller rejects invalid
/// UTF-8, so it is replaced here.
#[test]
fn random_bytes() {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    run(1, 400, bytes, |bytes| {
        check(&String::from_utf8_lossy(&bytes))
    });
}

/// Guards against a panic on strings of YAML indicator characters.
#[test]
fn random_indicators() {
    let text = "[-?:,\\[\\]{}#&*!|>'\"%@`~<. \t\r\n0a]{0,120}";
    run(2, 1_000, text, |text| check(&text));
}

/// Guards against a panic, and against accepting a text with an unknown key, when
/// parts of a valid text are replaced.
#[test]
fn random_mutations() {
    let text = short_text();
    let pieces = prop::sample::select(vec![
        "",
        " ",
        "\n",
        "\t",
        ":",
        "- ",
        "[",
        "]",
        "{",
        "}",
        "&a ",
        "*a",
        "<<: ",
        "!!str ",
        "\"",
        "'",
        "#",
        "|\n",
        "---\n",
        "0",
        "-1",
        "99999999999999999999",
        "1e400",
        "0x",
        "~",
        "\u{0}",
        "\u{feff}",
        "\u{2028}",
        "\r",
        "ü",
    ]);
    let edits = prop::collection::vec((0..text.len(), 0..12_usize, pieces), 1..6);
    run(3, 600, edits, |edits| {
        let mut text = text.clone();
        for (start, length, piece) in edits {
            let start = (0..=start.min(text.len()))
                .rfind(|i| text.is_char_boundary(*i))
                .unwrap();
            let end = (start + length).min(text.len());
            let end = (end..=text.len())
                .find(|i| text.is_char_boundary(*i))
                .unwrap();
            text.replace_range(start..end, piece);
        }
        check(&text);
    });
}

/// Returns a text of maximum size that repeats a part.
fn filled(head: &str, part: &str) -> String {
    let count = (MAX_TEXT_BYTES - head.len()) / part.len();
    head.to_owned() + &part.repeat(count)
}

/// Returns a text of maximum size with numbered parts.
fn numbered(head: &str, part: impl Fn(usize) -> String) -> String {
    let mut text = head.to_owned();
    for i in 0.. {
        let part = part(i);
        if text.len() + part.len() > MAX_TEXT_BYTES {
            break;
        }
        text.push_str(&part);
    }
    text
}

/// Checks each text, prints its time and compares it with the time limit.
fn check_times<const N: usize>(texts: [(&str, String); N]) {
    for (name, text) in texts {
        let start = Instant::now();
        check(&text);
        let time = start.elapsed();
        println!("{name}: {} bytes, {time:?}", text.len());
        assert!(time < TIME_LIMIT, "{name} took {time:?}");
    }
}

/// Guards against superlinear time for deep nesting and long values.
#[test]
fn long_values() {
    check_times([
        ("flow nesting", filled("", "[")),
        ("mapping nesting", filled("", "{a: ")),
        ("block nesting", filled("", "- ")),
        ("key nesting", filled("", "? ")),
        ("keys", numbered("", |i| format!("k{i}: 1\n"))),
        ("digits", filled("isolation_limit_s: 9", "9")),
        ("quoted", filled("teams: \"", "\\n")),
        ("block scalar", filled("teams: |\n", " x\n")),
        ("comments", filled("teams: []\n", "# x\n")),
        ("spaces", filled("teams:", " ")),
        ("lines", filled("teams:", "\n")),
        ("colons", filled("", "a:")),
        ("tags", filled("teams: ", "!a ")),
    ]);
}

/// Guards against superlinear time and memory for aliases and many list items.
#[test]
fn many_items() {
    let long_alias = format!("teams: [&a {}", "x".repeat(100_000));
    check_times([
        (
            "anchors",
            numbered("teams: [&a x", |i| format!(", &a{i} x")),
        ),
        (
            "aliases",
            filled("teams: [&a {name: x, limit_requests: 1}", ", *a"),
        ),
        ("long alias", filled(&long_alias, ", *a")),
        ("items", filled("teams: [x", ", x")),
        ("empty records", filled("teams: [{}", ", {}")),
    ]);
}

/// Guards against rules that take superlinear time.
#[test]
fn many_records() {
    let chain = |i| format!("- {{name: s{i}, depends_on: [s{}]}}\n", i + 1);
    let cycles = |i| format!("- {{name: s{}, depends_on: [s{i}, s{}]}}\n", i + 1, i + 2);
    let near =
        |i| format!("- {{name: refunds-of-kiosk-{i}, depends_on: [refunds-of-kiosks-{i}]}}\n");
    let team = |i| format!("- {{name: t{i}, limit_requests: 1}}\n");
    let queue = |i| format!("- {{name: q{i}, timeout: x}}\n");
    check_times([
        ("dependency chain", numbered("services:\n", chain)),
        (
            "cycles",
            numbered("services:\n- {name: s0, depends_on: [s1]}\n", cycles),
        ),
        ("references", numbered("services:\n", near)),
        (
            "one error among many",
            numbered("teams:\n- {nam: x}\n", team),
        ),
        ("many errors", numbered("queues:\n", queue)),
    ]);
}
