//! Places of workers that may have active runs of an earlier scheduler, as their status was
//! not read.
//!
//! Load pattern: after a takeover hundreds of workers are unread, and each waiting step of a
//! restored job asks whether it may run on one of them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
};

use crate::worker::Worker;

/// Pools with their data centres. An empty name stands for an unknown one.
#[derive(Debug, Default)]
pub(crate) struct UnreadPlaces(BTreeMap<String, BTreeSet<String>>);

impl UnreadPlaces {
    /// Returns the place of one worker.
    pub(crate) fn of(worker: &Worker) -> Self {
        let mut places = Self::default();
        places.add(worker);
        places
    }

    pub(crate) fn add(&mut self, worker: &Worker) {
        let (pool, data_centre) = worker.place_of_starts();
        if !self.0.contains_key(pool) {
            self.0.insert(pool.to_owned(), BTreeSet::new());
        }
        if let Some(data_centres) = self.0.get_mut(pool) {
            if !data_centres.contains(data_centre) {
                data_centres.insert(data_centre.to_owned());
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a place is in a pool, or an unknown one, and in a data centre if one is
    /// given.
    pub(crate) fn has_in(&self, pool: &str, data_centre: Option<&str>) -> bool {
        let named = self.0.get(pool).into_iter().chain(self.0.get(""));
        named.into_iter().any(|found| is_in(found, data_centre))
    }

    /// Returns whether a place is in a data centre if one is given.
    pub(crate) fn has_any(&self, data_centre: Option<&str>) -> bool {
        self.0.values().any(|found| is_in(found, data_centre))
    }
}

fn is_in(found: &BTreeSet<String>, data_centre: Option<&str>) -> bool {
    data_centre.is_none_or(|name| found.contains(name) || found.contains(""))
}

impl fmt::Display for UnreadPlaces {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (pool, data_centres)) in self.0.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            write!(f, "{separator}pool {pool:?} in {data_centres:?}")?;
        }
        Ok(())
    }
}
