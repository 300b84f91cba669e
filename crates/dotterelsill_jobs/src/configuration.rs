//! The part of the operators' configuration that the scheduler uses.

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
    JobSpec,
    Resources, //
};

/// A queue that jobs are submitted to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name.
    pub name: String,
    /// Host name in requests for the queue.
    pub host: String,
    /// Path prefix of requests for the queue.
    pub path_prefix: String,
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Scheduling priority; 0 is the most urgent.
    pub urgency: u32,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Factor on the critical path of a job that, plus `target`, gives its latency
    /// objective.
    pub slack_factor: f64,
    /// Constant part of a job's latency objective.
    pub target: Duration,
    /// Whether jobs are accepted without an API key.
    pub is_open: bool,
    /// Advisor that must permit workers to run a step; `None` if none is needed.
    pub advisor: Option<Advisor>,
}

impl Queue {
    /// Returns the path by which callers know the queue: its host and path prefix. It stays
    /// the same when the queue gets another name.
    pub fn path(&self) -> String {
        format!("{}{}", self.host, self.path_prefix)
    }
}

/// The queues of a configuration, indexed by name, path and host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    list: Vec<Queue>,
    by_name: HashMap<String, usize>,
    by_path: HashMap<String, usize>,
    by_host: HashMap<String, Vec<usize>>,
}

impl Queues {
    /// Adds a queue. If two queues have the same name or path, lookups find the first.
    pub fn push(&mut self, queue: Queue) {
        let number = self.list.len();
        self.by_name.entry(queue.name.clone()).or_insert(number);
        self.by_path.entry(queue.path()).or_insert(number);
        let of_host = self.by_host.entry(queue.host.clone()).or_default();
        of_host.push(number);
        self.list.push(queue);
    }

    /// Returns an iterator over all queues.
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
    /// Whether the pool holds instances that are switched off.
    pub is_standby: bool,
}

/// Share and resource limit of a workspace.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Workspace {
    /// Weight of the workspace's share when all resources are in use.
    pub weight: u64,
    /// Maximum resources in use across all workers; 0 means no limit for that
    /// resource.
    pub cap: Resources,
}

/// Limits on requests from callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller must send the request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // The platform's own limits, which apply until the configuration is known.
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A maintenance wave that the operators requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Unique number of the wave.
    pub number: u64,
    /// Names of the instances to maintain.
    pub instances: Vec<String>,
    /// Time within which all instances must have been maintained.
    pub duration: Duration,
    /// Maximum number of instances in maintenance at the same time.
    pub cap: u32,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version assigned by the operators; 0 until the first one is known.
    pub version: u64,
    /// Queues.
    pub queues: Queues,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Workspace>,
    /// Workspace names by API key.
    pub keys: HashMap<String, String>,
    /// Limits on requests from callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        let number = *self.queues.by_name.get(name)?;
        self.queues.list.get(number)
    }

    /// Returns the queue with the given path.
    pub fn queue_at(&self, path: &str) -> Option<&Queue> {
        let number = *self.queues.by_path.get(path)?;
        self.queues.list.get(number)
    }

    /// Returns the queue of a job. Its name does not count unless its path is not known:
    /// another queue may have that name now.
    pub(crate) fn queue_of_job(&self, spec: &JobSpec) -> Option<&Queue> {
        self.queue_by(&spec.queue, &spec.queue_path)
    }

    /// Returns the queue with a path, or with a name if the path is empty.
    pub(crate) fn queue_by(&self, name: &str, path: &str) -> Option<&Queue> {
        if path.is_empty() {
            self.queue(name)
        } else {
            self.queue_at(path)
        }
    }

    /// Returns the queue for a request: of the queues of the host, the one with the
    /// longest matching path prefix.
    pub fn queue_of(&self, host: &str, path: &str) -> Option<&Queue> {
        let of_host = self.queues.by_host.get(host)?;
        of_host
            .iter()
            .filter_map(|&number| self.queues.list.get(number))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}

/// Requests of the operators that are not part of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorRequests {
    /// Data centres that are taken out of service.
    pub excluded_data_centres: BTreeSet<String>,
    /// Maintenance waves.
    pub waves: Vec<Wave>,
}
