//! Tests of the operations on the ledger.

use dotterelsill_escrow::{
    Holding,
    Incarnation,
    Ledger,
    LedgerError,
    Operation,
    OperationKind,
    Record,
    MAX_LIMIT, //
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::TestRunner, //
};

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);

fn record(free: u32, held: &[u32], limit: u32, older_limit: Option<u32>) -> Record {
    let holding = |(index, &held)| Holding {
        held,
        incarnation: Incarnation(index as u128),
        operation: 1,
        wanted: 0,
    };
    Record {
        free,
        holdings: held.iter().enumerate().map(holding).collect(),
        limit,
        older_limit,
        revision: 1,
    }
}

/// Guards against accepting a decoded record in which credits were created or
/// lost.
#[test]
fn decoding_refuses_an_unbalanced_record() {
    let unbalanced = [
        record(3, &[2], 4, None),
        record(1, &[2], 4, None),
        record(0, &[5], 4, None),
        record(0, &[u32::MAX, u32::MAX, 6], 4, None),
        record(1, &[5], 4, Some(6)),
        record(0, &[4], 4, Some(6)),
        record(0, &[7], 4, Some(6)),
    ];
    for record in unbalanced {
        let result = Ledger::try_from(record.clone());
        assert!(
            matches!(result, Err(LedgerError::Unbalanced { .. })),
            "{record:?}"
        );
    }
    let mut duplicate = record(0, &[2, 2], 4, None);
    duplicate.holdings[1].incarnation = duplicate.holdings[0].incarnation;
    let refused = Ledger::try_from(duplicate);
    assert!(matches!(refused, Err(LedgerError::DuplicateHolding { .. })));
    assert!(Ledger::new(MAX_LIMIT + 1, 1).is_err());
    assert!(Ledger::try_from(record(0, &[5], 4, Some(6))).is_ok());
}

/// Guards against a repeated operation that takes effect twice, and against an
/// outdated operation that takes effect at all.
#[test]
fn an_operation_takes_effect_once() {
    let ledger = Ledger::new(4, 1).unwrap().take(A, 1, 2).unwrap();
    assert_eq!(ledger.take(A, 1, 2).unwrap(), ledger);
    let returned = ledger.give_back(A, 3, 1).unwrap();
    assert_eq!(returned.give_back(A, 3, 1).unwrap(), returned);
    let older = returned.take(A, 2, 1);
    assert!(matches!(
        older,
        Err(LedgerError::OlderOperation { last: 3, .. })
    ));
    assert!(matches!(
        returned.take(B, 0, 1),
        Err(LedgerError::ZeroNumber { .. })
    ));
}

/// Guards against taking more credits than are free, and giving back more than
/// are held.
#[test]
fn credits_are_bounded() {
    let ledger = Ledger::new(3, 1).unwrap().take(A, 1, 5).unwrap();
    let holding = ledger.holding(A).unwrap();
    assert_eq!((holding.held, holding.wanted, ledger.free()), (3, 2, 0));
    assert!(matches!(
        ledger.take(B, 1, 1),
        Err(LedgerError::NoFreeCredit { limit: 3 })
    ));
    let excessive = ledger.give_back(A, 2, 4);
    assert!(matches!(
        excessive,
        Err(LedgerError::InsufficientCredits { .. })
    ));
    assert!(matches!(
        ledger.give_back(B, 1, 1),
        Err(LedgerError::NotListed { .. })
    ));
    assert!(matches!(
        ledger.give_back(A, 2, 0),
        Err(LedgerError::ZeroCredits { .. })
    ));
}

/// Guards against an entry with an outdated configuration that restores the old
/// limit.
#[test]
fn a_limit_of_an_older_revision_is_refused() {
    let ledger = Ledger::new(4, 1).unwrap().set_limit(2, 3).unwrap();
    assert!(matches!(
        ledger.set_limit(4, 2),
        Err(LedgerError::OlderRevision { .. })
    ));
    assert!(matches!(
        ledger.set_limit(4, 3),
        Err(LedgerError::RevisionConflict { .. })
    ));
    assert_eq!(ledger.set_limit(2, 3).unwrap(), ledger);
}

/// Guards against a lower limit that takes effect while more credits than that
/// are held.
#[test]
fn a_lower_limit_is_pending_until_credits_are_back() {
    let ledger = Ledger::new(8, 1).unwrap().take(A, 1, 7).unwrap();
    let pending = ledger.set_limit(4, 2).unwrap();
    assert_eq!(
        (pending.limit_in_force(), pending.free(), pending.excess()),
        (8, 0, 3)
    );
    let partly = pending.give_back(A, 2, 2).unwrap();
    assert_eq!((partly.limit_in_force(), partly.free()), (8, 0));
    let lowered = partly.give_back(A, 3, 2).unwrap();
    assert_eq!((lowered.limit_in_force(), lowered.free()), (4, 1));
    let raised = pending.set_limit(9, 3).unwrap();
    assert_eq!((raised.limit_in_force(), raised.free()), (9, 2));
}

/// Guards against sequences of operations that violate the ledger invariant, by
/// validating every record that is reached.
#[test]
fn every_reachable_record_is_valid() {
    let kind = prop_oneof![
        (0..6_u32).prop_map(|credits| OperationKind::Take { credits }),
        (0..6_u32).prop_map(|credits| OperationKind::GiveBack { credits }),
        (0..6_u32).prop_map(|credits| OperationKind::Want { credits }),
        Just(OperationKind::Leave),
    ];
    let step = (0..4_u128, kind, 0..12_u32);
    let run = |steps: Vec<(u128, OperationKind, u32)>| {
        let mut ledger = Ledger::new(8, 0).unwrap();
        for (number, (incarnation, kind, limit)) in (1..).zip(steps) {
            let operation = Operation { number, kind };
            let next = match incarnation {
                0 => ledger.set_limit(limit, number),
                other => ledger.apply(Incarnation(other), &operation),
            };
            ledger = next.unwrap_or(ledger);
            prop_assert_eq!(Ledger::try_from(ledger.to_record()), Ok(ledger.clone()));
        }
        Ok(())
    };
    let mut runner = TestRunner::deterministic();
    runner.run(&vec(step, 1..40), run).unwrap();
}
