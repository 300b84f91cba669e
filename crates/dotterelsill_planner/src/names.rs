//! Interns names as numbers, which `dotterelsill_fleet` uses as identifiers.
//!
//! Numbers are local to this process. The store and the platform hold only
//! names, so two planners may number them differently.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

/// Table of names, numbered in the order of their first use.
#[derive(Debug, Default)]
pub(crate) struct Names {
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    names: Vec<String>,
    numbers: HashMap<String, u32>,
}

impl Names {
    /// Returns the number of a name and assigns one on first use. The number
    /// stays the same while the process runs.
    pub(crate) fn number(&self, name: &str) -> u32 {
        let mut table = self.lock();
        if let Some(number) = table.numbers.get(name) {
            return *number;
        }
        let number = table.names.len() as u32;
        table.names.push(name.to_owned());
        table.numbers.insert(name.to_owned(), number);
        number
    }

    /// Returns the number of a rack. Racks of the same name in different data
    /// centres have different numbers.
    pub(crate) fn rack(&self, data_centre: &str, rack: &str) -> u32 {
        self.number(&format!("{data_centre}/{rack}"))
    }

    /// Returns the name of a number, or an empty string if it was never assigned.
    pub(crate) fn name(&self, number: u32) -> String {
        let table = self.lock();
        table
            .names
            .get(number as usize)
            .cloned()
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
