//! A fleet that has passed the check.

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
        in_order,
        Finding,
        Severity, //
    },
    index::Index,
    limits::DEFAULT_ISOLATION_LIMIT_S,
    place::Place,
    read::read,
    rules::{
        self,
        structure, //
    },
};

/// A fleet that has passed the check. Only [`parse`] makes one.
#[derive(Clone, Debug)]
pub struct CheckedFleet {
    /// The fleet.
    fleet: Fleet,
    /// Findings that do not refuse the text.
    warnings: Vec<Finding>,
    /// Numbers of the data centres by name.
    data_centres: HashMap<String, usize>,
    /// Numbers of the queues by name.
    queues: HashMap<String, usize>,
    /// Numbers of the services by name.
    services: HashMap<String, usize>,
    /// Numbers of the teams by name.
    teams: HashMap<String, usize>,
}

/// Reads and checks the operators' text.
///
/// # Errors
///
/// Returns the findings of the text in order of position, warnings included,
/// when at least one of them is an error. No more than
/// [`MAX_FINDINGS`](crate::MAX_FINDINGS) are returned.
pub fn parse(text: &str) -> Result<CheckedFleet, Vec<Finding>> {
    if let Some(finding) = structure::text_size(text) {
        return Err(vec![finding]);
    }
    let (index, mut findings) = Index::build(text).map_err(in_order)?;
    let Some(root) = index.root() else {
        return Err(vec![structure::empty()]);
    };
    let mut reading = read(text, &index, root);
    if !index.has(&Place::default().key("isolation_limit_s")) {
        reading.fleet.isolation_limit_s = DEFAULT_ISOLATION_LIMIT_S;
    }
    let refused: HashSet<&str> = refused_paths(&reading.findings, &reading.meant);
    let ruled = rules::check(&reading.fleet, &index).into_iter();
    findings.extend(ruled.filter(|finding| !is_within(&finding.path, &refused)));
    findings.extend(reading.findings);
    let mut is_refused = findings.iter().any(|f| f.severity == Severity::Error);
    if let Some(unplaced) = reading.unplaced.filter(|_| !is_refused) {
        findings.push(unplaced);
        is_refused = true;
    }
    let findings = in_order(findings);
    if is_refused {
        return Err(findings);
    }
    Ok(CheckedFleet::new(reading.fleet, findings))
}

/// Returns the paths at which the deserializer refused a key.
fn refused_paths<'a>(findings: &'a [Finding], meant: &'a [String]) -> HashSet<&'a str> {
    let paths = findings.iter().map(|finding| finding.path.as_str());
    paths.chain(meant.iter().map(String::as_str)).collect()
}

/// Returns whether a path is one of those refused or lies below one. Its value
/// is then a default, about which a rule has nothing to say.
fn is_within(path: &str, refused: &HashSet<&str>) -> bool {
    let ends = path.match_indices(['.', '[']).map(|(end, _)| end);
    ends.chain([path.len()])
        .any(|end| refused.contains(&path[..end]))
}

/// Returns whether a queue serves work while an instance is isolated, by its
/// `when_isolated`: without a choice, only repeatable work is served.
pub fn serves_isolated(queue: &Queue) -> bool {
    match queue.when_isolated() {
        WhenIsolated::Default => queue.repeatable,
        WhenIsolated::Serve => true,
        WhenIsolated::Refuse => false,
    }
}

impl CheckedFleet {
    /// Returns a fleet that has passed the check, with its warnings.
    fn new(fleet: Fleet, warnings: Vec<Finding>) -> Self {
        Self {
            data_centres: numbers(fleet.data_centres.iter().map(|d| &d.name)),
            queues: numbers(fleet.queues.iter().map(|q| &q.name)),
            services: numbers(fleet.services.iter().map(|s| &s.name)),
            teams: numbers(fleet.teams.iter().map(|t| &t.name)),
            fleet,
            warnings,
        }
    }

    /// Returns the fleet. A text without `isolation_limit_s` has
    /// [`DEFAULT_ISOLATION_LIMIT_S`].
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the findings that do not refuse the text, in order of position.
    pub fn warnings(&self) -> &[Finding] {
        &self.warnings
    }

    /// Returns the data centre with a name.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        let number = *self.data_centres.get(name)?;
        self.fleet.data_centres.get(number)
    }

    /// Returns the queue with a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let number = *self.queues.get(name)?;
        self.fleet.queues.get(number)
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let number = *self.services.get(name)?;
        self.fleet.services.get(number)
    }

    /// Returns the team with a name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let number = *self.teams.get(name)?;
        self.fleet.teams.get(number)
    }
}

/// Returns the number of each name in its list.
fn numbers<'a>(names: impl Iterator<Item = &'a String>) -> HashMap<String, usize> {
    names
        .cloned()
        .enumerate()
        .map(|(i, name)| (name, i))
        .collect()
}
