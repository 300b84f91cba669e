//! Findings that the validation of a configuration text returns.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use crate::{
    index::Index,
    limits::MAX_FINDINGS,
    place::KeyPath, //
};

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The text is rejected.
    Error,
    /// The text is accepted, but may not have the intended effect.
    Warning,
}

impl Display for Severity {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// An error or a warning about one position of the configuration text.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Finding {
    /// Name of the rule, such as `share-total`.
    pub rule: &'static str,
    /// Severity; an error rejects the text.
    pub severity: Severity,
    /// Line number, counted from 1.
    pub line: usize,
    /// Column number in characters, counted from 1.
    pub column: usize,
    /// Path to the key, such as `teams[2].share_percent`; empty for the whole text.
    pub path: String,
    /// Description of the problem.
    pub problem: String,
    /// Suggested fix.
    pub fix: String,
}

impl Finding {
    /// Creates an error at the position of `path` in the text.
    pub(crate) fn error(
        rule: &'static str,
        index: &Index<'_>,
        path: &KeyPath<'_>,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) -> Self {
        let position = index.position(path);
        Self {
            rule,
            severity: Severity::Error,
            line: position.line,
            column: position.column,
            path: path.to_string(),
            problem: problem.into(),
            fix: fix.into(),
        }
    }

    /// Changes the severity to a warning.
    pub(crate) fn into_warning(self) -> Self {
        Self {
            severity: Severity::Warning,
            ..self
        }
    }
}

impl Display for Finding {
    /// Formats the finding as one line, such as
    /// `7:20: error [unknown-key] teams[1].shar: problem; fix`.
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(
            f,
            "{}:{}: {} [{}] ",
            self.line, self.column, self.severity, self.rule
        )?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{}; {}", self.problem, self.fix)
    }
}

/// Sorts findings by position and keeps at most [`MAX_FINDINGS`] of them.
///
/// Errors take precedence over warnings, so that a rejected text always shows
/// an error. When findings are omitted, the last one tells how many.
pub(crate) fn sort_and_limit(mut findings: Vec<Finding>) -> Vec<Finding> {
    findings.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    if findings.len() <= MAX_FINDINGS {
        return findings;
    }
    let last = findings.last().map_or((1, 1), |f| (f.line, f.column));
    findings.sort_by_key(|finding| finding.severity);
    let omitted = findings.split_off(MAX_FINDINGS - 1);
    findings.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    findings.push(omitted_count_finding(&omitted, last));
    findings
}

/// Returns the sort key of a finding: position, rule and path.
fn sort_key(finding: &Finding) -> (usize, usize, &'static str, &str) {
    (finding.line, finding.column, finding.rule, &finding.path)
}

/// Returns the finding that tells how many findings are omitted, at the position
/// of the last of all findings.
fn omitted_count_finding(omitted: &[Finding], (line, column): (usize, usize)) -> Finding {
    let severity = omitted.iter().map(|finding| finding.severity).min();
    Finding {
        rule: "more-findings",
        severity: severity.unwrap_or(Severity::Warning),
        line,
        column,
        path: String::new(),
        problem: format!("{} more findings are not shown", omitted.len()),
        fix: "fix those shown and check the text again".into(),
    }
}
