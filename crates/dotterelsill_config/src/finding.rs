//! Findings of the check.

use std::fmt::{
    Display,
    Formatter,
    Result, //
};

use crate::{
    index::Index,
    limits::MAX_FINDINGS,
    place::Place, //
};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The text is refused.
    Error,
    /// The text is accepted, and its meaning may surprise.
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

/// One thing that is wrong with the operators' text.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Finding {
    /// Name of the rule, such as `share-total`.
    pub rule: &'static str,
    /// Whether the finding refuses the text.
    pub severity: Severity,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the key, such as `teams[2].share_percent`; empty for the whole text.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// How to fix it.
    pub fix: String,
}

impl Finding {
    /// Returns a finding that refuses the text.
    pub(crate) fn error(
        rule: &'static str,
        index: &Index<'_>,
        place: &Place<'_>,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) -> Self {
        let position = index.position(place);
        Self {
            rule,
            severity: Severity::Error,
            line: position.line,
            column: position.column,
            path: place.to_string(),
            problem: problem.into(),
            fix: fix.into(),
        }
    }

    /// Returns the finding as a warning.
    pub(crate) fn into_warning(self) -> Self {
        Self {
            severity: Severity::Warning,
            ..self
        }
    }
}

impl Display for Finding {
    /// Writes the finding as one line of text.
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
/// Errors are kept before warnings, so that a refused text always shows an
/// error. A last finding counts those left out.
pub(crate) fn in_order(mut findings: Vec<Finding>) -> Vec<Finding> {
    findings.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    if findings.len() <= MAX_FINDINGS {
        return findings;
    }
    let last = findings.last().map_or((1, 1), |f| (f.line, f.column));
    findings.sort_by_key(|finding| finding.severity);
    let left_out = findings.split_off(MAX_FINDINGS - 1);
    findings.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    findings.push(count_of(&left_out, last));
    findings
}

/// Returns what findings are sorted by.
fn sort_key(finding: &Finding) -> (usize, usize, &'static str, &str) {
    (finding.line, finding.column, finding.rule, &finding.path)
}

/// Returns the finding that counts the findings left out, at the position of the
/// last finding of all.
fn count_of(left_out: &[Finding], (line, column): (usize, usize)) -> Finding {
    let severity = left_out.iter().map(|finding| finding.severity).min();
    Finding {
        rule: "more-findings",
        severity: severity.unwrap_or(Severity::Warning),
        line,
        column,
        path: String::new(),
        problem: format!("{} more findings are not shown", left_out.len()),
        fix: "fix those shown and check the text again".into(),
    }
}
