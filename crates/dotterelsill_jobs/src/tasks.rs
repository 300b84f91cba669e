//! States of the tasks of one step. A task without a run or an end needs no state of its
//! own, so that a step with many tasks that wait is small.

use std::{
    iter,
    sync::Arc, //
};

use crate::job::Task;

/// Tasks of one step in one occurrence.
#[derive(Debug)]
pub(crate) struct Tasks {
    /// States of the first tasks, up to the last one that was changed.
    changed: Vec<Task>,
    /// State of each of the other tasks.
    unchanged: Arc<Task>,
    count: usize,
}

impl Tasks {
    /// Creates a number of tasks in the same state, which is one of waiting.
    pub(crate) fn new(count: usize, state: &Arc<Task>) -> Self {
        Self {
            changed: Vec::new(),
            unchanged: state.clone(),
            count,
        }
    }

    /// Returns the number of tasks.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Returns the states of all tasks. The time that an iteration takes grows with
    /// their number.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Task> {
        let rest = self.count - self.changed.len();
        self.changed
            .iter()
            .chain(iter::repeat_n(&*self.unchanged, rest))
    }

    /// Returns the states of the first tasks, including all that have runs, an end or a
    /// checkpoint.
    pub(crate) fn changed(&self) -> &[Task] {
        &self.changed
    }

    /// Returns a state.
    pub(crate) fn get(&self, index: usize) -> Option<&Task> {
        (index < self.count).then(|| self.changed.get(index).unwrap_or(&self.unchanged))
    }

    /// Returns a state that is about to be changed.
    pub(crate) fn get_mut(&mut self, index: usize) -> Option<&mut Task> {
        if index >= self.count {
            return None;
        }
        if index >= self.changed.len() {
            self.changed.resize(index + 1, Task::clone(&self.unchanged));
        }
        self.changed.get_mut(index)
    }

    /// Marks all tasks as done.
    pub(crate) fn set_all_done(&mut self) {
        self.changed
            .resize(self.count, Task::clone(&self.unchanged));
        self.changed.iter_mut().for_each(|task| task.is_done = true);
    }

    /// Returns the number of tasks that are neither done nor running.
    pub(crate) fn waiting(&self) -> usize {
        let changed = self.changed.iter().filter(|task| task.is_waiting());
        changed.count() + self.count - self.changed.len()
    }

    /// Returns whether a task is neither done nor running.
    pub(crate) fn has_waiting(&self) -> bool {
        self.changed.len() < self.count || self.changed.iter().any(Task::is_waiting)
    }
}
