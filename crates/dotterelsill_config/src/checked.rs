//! Parsing of a configuration text into a validated fleet.

use std::collections::{
    HashMap,
    HashSet, //
};

use dotterelsill_proto::config::{
    DataCentre,
    Fleet,
    Queue,
    Service,
    Team,
    WhenIsolated, //
};

use crate::{
    finding::{
        sort_and_limit,
        Finding,
        Severity, //
    },
    index::Index,
    limits::DEFAULT_ISOLATION_LIMIT_S,
    place::KeyPath,
    read::read,
    rules::{
        self,
        structure, //
    }, //
};

/// A fleet whose configuration passed validation. Only [`parse`] creates one.
#[derive(Clone, Debug)]
pub struct CheckedFleet {
    /// Parsed configuration.
    fleet: Fleet,
    /// Warnings, in order of position.
    warnings: Vec<Finding>,
    /// Indexes of the data centres by name.
    data_centres: HashMap<String, usize>,
    /// Indexes of the queues by name.
    queues: HashMap<String, usize>,
    /// Indexes of the services by name.
    services: HashMap<String, usize>,
    /// Indexes of the teams by name.
    teams: HashMap<String, usize>,
}

/// Parses and validates a configuration text.
///
/// # Errors
///
/// Returns the findings in order of position, including warnings, if at least one
/// of them is an error. At most [`MAX_FINDINGS`](crate::MAX_FINDINGS) findings
/// are returned.
pub fn parse(text: &str) -> Result<CheckedFleet, Vec<Finding>> {
    if let Some(finding) = structure::text_size(text) {
        return Err(vec![finding]);
    }
    let (index, mut findings) = Index::build(text).map_err(sort_and_limit)?;
    let Some(root) = index.root() else {
        return Err(vec![structure::empty()]);
    };
    let mut parsed = read(text, &index, root);
    if !index.contains(&KeyPath::default().key("isolation_limit_s")) {
        parsed.fleet.isolation_limit_s = DEFAULT_ISOLATION_LIMIT_S;
    }
    let rejected: HashSet<&str> = rejected_paths(&parsed.findings, &parsed.intended_paths);
    let rule_findings = rules::check(&parsed.fleet, &index).into_iter();
    findings.extend(rule_findings.filter(|finding| !is_within(&finding.path, &rejected)));
    findings.extend(parsed.findings);
    let mut is_rejected = findings.iter().any(|f| f.severity == Severity::Error);
    if let Some(document_error) = parsed.document_error.filter(|_| !is_rejected) {
        findings.push(document_error);
        is_rejected = true;
    }
    let findings = sort_and_limit(findings);
    if is_rejected {
        return Err(findings);
    }
    Ok(CheckedFleet::new(parsed.fleet, findings))
}

/// Returns the paths of the rejected keys and of the keys that were probably
/// intended by them.
fn rejected_paths<'a>(findings: &'a [Finding], intended: &'a [String]) -> HashSet<&'a str> {
    let paths = findings.iter().map(|finding| finding.path.as_str());
    paths.chain(intended.iter().map(String::as_str)).collect()
}

/// Returns whether a path is rejected or lies below a rejected one. The value at
/// such a path is only a default, so the findings of rules about it are dropped.
fn is_within(path: &str, rejected: &HashSet<&str>) -> bool {
    let ends = path.match_indices(['.', '[']).map(|(end, _)| end);
    ends.chain([path.len()])
        .any(|end| rejected.contains(&path[..end]))
}

/// Returns whether a queue serves requests while an instance is isolated.
///
/// This follows `when_isolated`; by default only repeatable requests are served.
pub fn serves_isolated(queue: &Queue) -> bool {
    match queue.when_isolated() {
        WhenIsolated::Default => queue.repeatable,
        WhenIsolated::Serve => true,
        WhenIsolated::Refuse => false,
    }
}

impl CheckedFleet {
    /// Creates the lookup tables of a fleet that passed validation.
    fn new(fleet: Fleet, warnings: Vec<Finding>) -> Self {
        Self {
            data_centres: indexes_by_name(fleet.data_centres.iter().map(|d| &d.name)),
            queues: indexes_by_name(fleet.queues.iter().map(|q| &q.name)),
            services: indexes_by_name(fleet.services.iter().map(|s| &s.name)),
            teams: indexes_by_name(fleet.teams.iter().map(|t| &t.name)),
            fleet,
            warnings,
        }
    }

    /// Returns the parsed configuration. `isolation_limit_s` is
    /// [`DEFAULT_ISOLATION_LIMIT_S`] if the text does not set it.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the warnings about the text, in order of position.
    pub fn warnings(&self) -> &[Finding] {
        &self.warnings
    }

    /// Returns the data centre with the given name.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        let index = *self.data_centres.get(name)?;
        self.fleet.data_centres.get(index)
    }

    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let index = *self.queues.get(name)?;
        self.fleet.queues.get(index)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = *self.services.get(name)?;
        self.fleet.services.get(index)
    }

    /// Returns the team with the given name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let index = *self.teams.get(name)?;
        self.fleet.teams.get(index)
    }
}

/// Maps each name to its index in the list.
fn indexes_by_name<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    names
        .cloned()
        .enumerate()
        .map(|(i, name)| (name, i))
        .collect()
}
