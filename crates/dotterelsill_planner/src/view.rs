//! What operators are told.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    }, //
};

/// Answers to `Plan` and `Explain`.
#[derive(Debug, Default)]
pub(crate) struct Texts {
    /// Text of each instance by name.
    pub(crate) instances: BTreeMap<String, String>,
    pub(crate) plan: String,
}

/// Newest texts, while this planner acts.
#[derive(Debug, Default)]
pub(crate) struct View {
    // Operators ask rarely, so a mutex that is held for a clone does no harm.
    texts: Mutex<Option<Arc<Texts>>>,
}

impl View {
    /// Replaces the texts; `None` while this planner does not act.
    pub(crate) fn set(&self, texts: Option<Texts>) {
        let mut current = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        *current = texts.map(Arc::new);
    }

    /// Returns the newest texts.
    pub(crate) fn get(&self) -> Option<Arc<Texts>> {
        let current = self.texts.lock().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }
}
