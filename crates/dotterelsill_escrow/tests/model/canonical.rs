//! Reduction of equivalent states to one canonical state.

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
    /// Returns the canonical form of the state, which makes the state space finite.
    ///
    /// Operation numbers are replaced by their ranks, and the version of the
    /// record by 1. Writes that expect an older version are removed, because the
    /// store refuses them, which a holder cannot tell from a timeout. Recorded
    /// numbers of wanted credits are removed, because holders may record them
    /// again at any time.
    pub(crate) fn canonical(mut self, setup: &Setup) -> Self {
        let current = self.version;
        self.version = 1;
        let mut record = self.ledger.to_record();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.writes.retain(|write| write.version == current);
            node.writes.iter_mut().for_each(|write| write.version = 1);
            simplify_holder(&mut node.holder, current);
            let mut holdings = record.holdings.iter_mut();
            let holding = holdings.find(|holding| holding.incarnation == id(index));
            rank_numbers(node, holding.map(|holding| &mut holding.operation));
        }
        record
            .holdings
            .iter_mut()
            .for_each(|holding| holding.wanted = 0);
        if setup.fault == Fault::None {
            self.sort_nodes(&mut record);
        }
        self.ledger = Ledger::try_from(record).expect("credits are conserved");
        self
    }

    /// Sorts the incarnations by a hash of their state, because states that differ
    /// only in the order of incarnations are equivalent.
    fn sort_nodes(&mut self, record: &mut Record) {
        let key = |index: &usize| {
            let mut hasher = DefaultHasher::new();
            let mut holdings = record.holdings.iter();
            let holding = holdings.find(|holding| holding.incarnation == id(*index));
            let holding = holding.map(|holding| (holding.held, holding.operation));
            (&self.nodes[*index], holding).hash(&mut hasher);
            hasher.finish()
        };
        let mut order: Vec<usize> = (0..self.nodes.len()).collect();
        order.sort_by_cached_key(key);
        self.nodes = order
            .iter()
            .map(|index| self.nodes[*index].clone())
            .collect();
        for holding in &mut record.holdings {
            let position = order
                .iter()
                .position(|index| id(*index) == holding.incarnation);
            holding.incarnation = id(position.expect("every holding has a node"));
        }
    }
}

/// Clears the parts of a holder's state that do not affect the invariants.
///
/// Because the peak is cleared too, credits are given back earlier than in
/// production.
fn simplify_holder(holder: &mut HolderState, current: u64) {
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

/// Replaces the operation numbers of a node by their ranks.
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
