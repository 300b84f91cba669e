//! Tests of budget limits and of outages that are always accepted.

use dotterelsill_fleet::*;

const LIMITS: BudgetLimits = BudgetLimits {
    floor_percent: 70,
    per_data_centre: 2,
    per_rack: 1,
};

fn upstream(instance: u32) -> Upstream {
    Upstream {
        data_centre: DataCentre(instance / 4),
        instance: Instance(instance),
        rack: Rack(instance / 2),
    }
}

fn empty() -> BudgetRecord {
    BudgetRecord::new(Token(1), 12)
}

fn charge_outage(budget: &BudgetRecord, instance: u32) -> Result<BudgetRecord, BudgetError> {
    budget.charge_voluntary(Token(1), &LIMITS, upstream(instance))
}

/// Guards against a floor that is rounded down or computed per failure domain.
#[test]
fn the_floor_is_rounded_up() {
    let three_out = [0, 4, 8]
        .iter()
        .try_fold(empty(), |b, i| charge_outage(&b, *i))
        .unwrap();
    let refused = charge_outage(&three_out, 2);
    assert_eq!(refused, Err(BudgetError::Floor { floor: 9, left: 8 }));
}

/// Guards against more outages in a rack or data centre than its limit allows.
#[test]
fn failure_domains_have_their_own_limits() {
    let one_out = charge_outage(&empty(), 0).unwrap();
    let refused = charge_outage(&one_out, 1).unwrap_err();
    assert!(matches!(refused, BudgetError::RackFull { out: 1, .. }));
    let two_out = charge_outage(&one_out, 2).unwrap();
    let full = two_out
        .charge_voluntary(
            Token(1),
            &BudgetLimits {
                per_rack: 9,
                ..LIMITS
            },
            upstream(3),
        )
        .unwrap_err();
    assert!(matches!(full, BudgetError::DataCentreFull { out: 2, .. }));
}

/// Guards against a voluntary outage that is accepted without a check because the
/// instance is already out for another cause. The voluntary outage could outlast
/// that cause and take the service below its floor.
#[test]
fn an_exhausted_budget_refuses_even_instances_that_are_out() {
    let excluded: Vec<_> = (0..4).map(upstream).collect();
    let out = empty().set_ordered(Token(1), &excluded, true).unwrap();
    assert_eq!(out.outage_count(), 4);
    assert!(charge_outage(&out, 0).is_err());
    assert!(charge_outage(&out, 8).is_err());
    let included = out.set_ordered(Token(1), &excluded, false).unwrap();
    assert!(charge_outage(&included, 0).is_ok());
}

/// Guards against the end of one cause clearing the charge of another.
#[test]
fn the_end_of_an_order_keeps_a_voluntary_outage() {
    let one_out = charge_outage(&empty(), 0).unwrap();
    let both = one_out.set_ordered(Token(1), &[upstream(0)], true).unwrap();
    let failed = both.set_involuntary(Token(1), upstream(0), true).unwrap();
    assert_eq!(failed.outage_count(), 1);
    let seen = failed
        .set_involuntary(Token(1), upstream(0), false)
        .unwrap();
    let left = seen.set_ordered(Token(1), &[upstream(0)], false).unwrap();
    assert!(left.has_voluntary_charge(Instance(0)));
}

/// Guards against changes by a planner that has lost its lease.
#[test]
fn a_lower_token_changes_nothing() {
    let stamped = empty().with_token(Token(2)).unwrap();
    let expected = BudgetError::Fenced {
        found: Token(2),
        own: Token(1),
    };
    assert_eq!(charge_outage(&stamped, 0), Err(expected));
    let involuntary = stamped.set_involuntary(Token(1), upstream(0), true);
    assert_eq!(involuntary, Err(expected));
}
