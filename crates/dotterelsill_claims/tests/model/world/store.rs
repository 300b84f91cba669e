//! The store, with the writes that a driver with a fault leaves out.

use dotterelsill_claims::{
    Action,
    Entry,
    Position,
    StoreAnswer, //
};

use super::{
    Driver,
    World, //
};

impl World {
    /// Returns whether the driver leaves out a write.
    fn leaves_out(&self, position: Position, entry: &Entry) -> bool {
        let seal = matches!(entry, Entry::Seal { .. });
        let last = self
            .record
            .is_some_and(|(_, record)| record.epoch == position.epoch + 1);
        match self.driver {
            Driver::NeverSeals => seal,
            Driver::SealsOnlyLastEpoch => seal && !last,
            _ => false,
        }
    }

    /// Lets a store call take effect.
    pub(super) fn store(&mut self, action: &Action) -> StoreAnswer {
        match action {
            Action::ReadOwner { .. } => StoreAnswer::Owner(self.record),
            Action::SwapOwner {
                expected_version,
                record,
                ..
            } => {
                let version = self.record.map_or(0, |(version, _)| version);
                let matches = version == *expected_version;
                if matches {
                    self.record = Some((version + 1, *record));
                }
                StoreAnswer::Swapped(matches.then_some(version + 1))
            }
            Action::Create {
                position, entry, ..
            } => {
                let free = !self.entries.contains_key(position);
                if free && !self.leaves_out(*position, entry) {
                    self.entries.insert(*position, entry.clone());
                }
                StoreAnswer::Created(free)
            }
            Action::Read { position, .. } => {
                StoreAnswer::Entry(self.entries.get(position).cloned())
            }
            Action::List { after, .. } => self.page(*after),
            Action::Reply { .. } => unreachable!("replies are no store calls"),
        }
    }

    /// Returns a page of one entry, so that writes come between pages.
    fn page(&self, after: Option<Position>) -> StoreAnswer {
        let behind = |(position, _): &(&Position, _)| Some(**position) > after;
        let rest: Vec<_> = self.entries.iter().filter(behind).collect();
        let first = rest.first().map(|(p, e)| (**p, (*e).clone()));
        StoreAnswer::Page {
            entries: first.into_iter().collect(),
            more: rest.len() > 1,
        }
    }
}
