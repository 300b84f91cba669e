//! What the operators have configured, as far as jobs depend on it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use crate::{
    Advisor,
    Resources, //
};

/// A queue that jobs are handed in on.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths of the queue.
    pub path_prefix: String,
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Urgency; 0 goes first.
    pub urgency: u32,
    /// Failed runs of one task after which its job has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of tasks within which a job is on time.
    pub slack_factor: f64,
    /// Time beside the chain within which a job is on time.
    pub target: Duration,
    /// Whether jobs are taken without a key.
    pub is_open: bool,
    /// Advisor that allows workers to run a step, if the queue needs one.
    pub advisor: Option<Advisor>,
}

/// The queues of a configuration, found by name and by host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    list: Vec<Queue>,
    by_name: HashMap<String, usize>,
    by_host: HashMap<String, Vec<usize>>,
}

impl Queues {
    /// Adds a queue; of two with one name, the first is found.
    pub fn push(&mut self, queue: Queue) {
        let number = self.list.len();
        self.by_name.entry(queue.name.clone()).or_insert(number);
        let of_host = self.by_host.entry(queue.host.clone()).or_default();
        of_host.push(number);
        self.list.push(queue);
    }

    /// Returns all queues.
    pub fn iter(&self) -> std::slice::Iter<'_, Queue> {
        self.list.iter()
    }

    /// Returns the number of queues.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Returns whether there are no queues.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

impl FromIterator<Queue> for Queues {
    fn from_iter<T: IntoIterator<Item = Queue>>(queues: T) -> Self {
        let mut all = Self::default();
        queues.into_iter().for_each(|queue| all.push(queue));
        all
    }
}

/// A pool of workers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pool {
    /// Whether the pool's instances are switched off.
    pub is_standby: bool,
}

/// A workspace with its share and its limit.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Workspace {
    /// Share when all room is taken.
    pub weight: u64,
    /// Most that may run across all workers; 0 in a resource for no limit.
    pub cap: Resources,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller sends the head of a request.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // The platform's own limits, until its configuration is known.
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A wave of maintenance that the operators ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Number of the wave.
    pub number: u64,
    /// Instances that are due.
    pub instances: Vec<String>,
    /// Time within which all have had their maintenance.
    pub duration: Duration,
    /// Most instances that may be in maintenance at once.
    pub cap: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version that the operators gave; 0 before the first is known.
    pub version: u64,
    /// Queues.
    pub queues: Queues,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Names of the workspaces by key.
    pub keys: HashMap<String, String>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Returns the queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let number = *self.queues.by_name.get(name)?;
        self.queues.list.get(number)
    }

    /// Returns the queue of a request: the one with the longest prefix.
    pub fn queue_of(&self, host: &str, path: &str) -> Option<&Queue> {
        let of_host = self.queues.by_host.get(host)?;
        of_host
            .iter()
            .filter_map(|&number| self.queues.list.get(number))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}

/// What the operators ask for beside the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorRequests {
    /// Data centres that are taken out.
    pub excluded_data_centres: BTreeSet<String>,
    /// Waves of maintenance.
    pub waves: Vec<Wave>,
}
