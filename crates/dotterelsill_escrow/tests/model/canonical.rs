//! Reduction of states that no later step can tell apart.

use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

use dotterelsill_escrow::{
    HolderState,
    Ledger,
    Record, //
};

use crate::world::{
    id,
    Fault,
    Node,
    Setup,
    World, //
};

impl World {
    /// Makes the state space finite.
    ///
    /// Operation numbers are replaced by their ranks, and the version of the
    /// record by 1. A write that expects an older version is removed: the store
    /// refuses it, which the holder sees like a time-out. Posted numbers of
    /// wanted credits are removed; holders post them again at any time.
    pub(crate) fn canonical(mut self, setup: &Setup) -> Self {
        let current = self.version;
        self.version = 1;
        let mut record = self.ledger.to_record();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.writes.retain(|write| write.version == current);
            node.writes.iter_mut().for_each(|write| write.version = 1);
            reduce_holder(&mut node.holder, current);
            let mut shares = record.holdings.iter_mut();
            let share = shares.find(|share| share.incarnation == id(index));
            rank_numbers(node, share.map(|share| &mut share.operation));
        }
        record
            .holdings
            .iter_mut()
            .for_each(|share| share.wanted = 0);
        if setup.fault == Fault::None {
            self.sort_nodes(&mut record);
        }
        self.ledger = Ledger::try_from(record).expect("credits are conserved");
        self
    }

    /// Orders the incarnations, which are interchangeable, by their contents.
    fn sort_nodes(&mut self, record: &mut Record) {
        let key = |index: &usize| {
            let mut hasher = DefaultHasher::new();
            let mut shares = record.holdings.iter();
            let share = shares.find(|share| share.incarnation == id(*index));
            let share = share.map(|share| (share.held, share.operation));
            (&self.nodes[*index], share).hash(&mut hasher);
            hasher.finish()
        };
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        order.sort_by_cached_key(key);
        self.nodes = order
            .iter()
            .map(|index| self.nodes[*index].clone())
            .collect();
        for share in &mut record.holdings {
            let place = order
                .iter()
                .position(|index| id(*index) == share.incarnation);
            share.incarnation = id(place.expect("every share has a node"));
        }
    }
}

/// Keeps what bears on the invariants; without the peak, credits are given back
/// earlier than in production.
fn reduce_holder(holder: &mut HolderState, current: u64) {
    holder.counts.peak = holder.counts.running;
    holder.counts.refused = false;
    holder.idle_since = None;
    holder.idle_peak = 0;
    holder.short_at = None;
    holder.free_since = None;
    holder.version = None;
    holder.wanted = 0;
    if let Some(in_flight) = &mut holder.in_flight {
        in_flight.version = u64::from(in_flight.version == current);
        in_flight.failed &= in_flight.version == 1;
    }
}

fn rank_numbers(node: &mut Node, recorded: Option<&mut u64>) {
    let holder = &mut node.holder;
    if holder.in_flight.is_none() && !node.stopped {
        holder.last_number = recorded.as_ref().map_or(0, |number| **number);
    }
    let mut numbers = vec![&mut holder.last_number];
    numbers.extend(recorded);
    let in_flight = holder.in_flight.iter_mut();
    numbers.extend(in_flight.map(|in_flight| &mut in_flight.operation.number));
    let writes = node.writes.iter_mut();
    numbers.extend(writes.map(|write| &mut write.operation.number));
    // Sorts the references by the numbers they point to.
    numbers.sort_unstable();
    let (mut last, mut rank) = (0, 0);
    for number in numbers {
        rank += u64::from(*number != last);
        last = std::mem::replace(number, rank);
    }
}
