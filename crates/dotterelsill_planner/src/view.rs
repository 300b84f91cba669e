//! Texts that the leader publishes for operators.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    }, //
};

/// Texts returned by `Plan` and `Explain`.
#[derive(Debug, Default)]
pub(crate) struct Texts {
    /// Text returned by `Explain` for each instance name.
    pub(crate) instances: BTreeMap<String, String>,
    /// Text returned by `Plan`.
    pub(crate) plan: String,
}

/// Holds the newest texts while this planner is the leader.
#[derive(Debug, Default)]
pub(crate) struct View {
    // Operators call rarely, so contention on a mutex held for one clone is low.
    texts: Mutex<Option<Arc<Texts>>>,
}

impl View {
    /// Replaces the texts; `None` when this planner is not the leader.
    pub(crate) fn set(&self, texts: Option<Texts>) {
        let mut current = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        *current = texts.map(Arc::new);
    }

    /// Returns the newest texts, or `None` when this planner is not the leader.
    pub(crate) fn get(&self) -> Option<Arc<Texts>> {
        let current = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }
}
