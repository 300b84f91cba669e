//! Numbers of names within this process.
//!
//! The store and the platform hold names only, so the numbers need not be the
//! same in two planners.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

/// Numbers given to names, in the order of their first use.
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
    /// Returns the number of a name, which it keeps while the process runs.
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

    /// Returns the number of a rack, which is unique over the data centres.
    pub(crate) fn rack(&self, data_centre: &str, rack: &str) -> u32 {
        self.number(&format!("{data_centre}/{rack}"))
    }

    /// Returns the name of a number.
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
