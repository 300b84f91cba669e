//! Simulated store, which drops the writes that a faulty driver omits.

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
    /// Returns whether the driver omits a write.
    fn is_omitted(&self, position: Position, entry: &Entry) -> bool {
        let is_seal = matches!(entry, Entry::Seal { .. });
        let is_last_epoch = self
            .record
            .is_some_and(|(_, record)| record.epoch == position.epoch + 1);
        match self.driver {
            Driver::NeverSeals => is_seal,
            Driver::SealsOnlyLastEpoch => is_seal && !is_last_epoch,
            _ => false,
        }
    }

    /// Executes a store call and returns its answer.
    pub(super) fn execute_call(&mut self, action: &Action) -> StoreAnswer {
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
                if free && !self.is_omitted(*position, entry) {
                    self.entries.insert(*position, entry.clone());
                }
                StoreAnswer::Created(free)
            }
            Action::Read { position, .. } => {
                StoreAnswer::Entry(self.entries.get(position).cloned())
            }
            Action::List { after, .. } => self.page(*after),
            Action::Reply { .. } => unreachable!("a reply is not a store call"),
        }
    }

    /// Returns a page of one entry, so that writes can happen between pages.
    fn page(&self, after: Option<Position>) -> StoreAnswer {
        let is_after = |(position, _): &(&Position, _)| Some(**position) > after;
        let rest: Vec<_> = self.entries.iter().filter(is_after).collect();
        let first = rest.first().map(|(p, e)| (**p, (*e).clone()));
        StoreAnswer::Page {
            entries: first.into_iter().collect(),
            more: rest.len() > 1,
        }
    }
}
