//! Limits of a budget and the outages that it never refuses.

use dotterelsill_fleet::*;

const RULE: BudgetLimits = BudgetLimits {
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

fn taken(budget: &BudgetRecord, instance: u32) -> Result<BudgetRecord, BudgetError> {
    budget.charge_voluntary(Token(1), &RULE, upstream(instance))
}

/// Guards against a floor rounded down or counted per failure domain.
#[test]
fn the_floor_is_rounded_up() {
    let three = [0, 4, 8]
        .iter()
        .try_fold(empty(), |b, i| taken(&b, *i))
        .unwrap();
    let refused = taken(&three, 2);
    assert_eq!(refused, Err(BudgetError::Floor { floor: 9, left: 8 }));
}

/// Guards against outages of one rack or data centre beyond their number.
#[test]
fn failure_domains_have_their_own_limits() {
    let one = taken(&empty(), 0).unwrap();
    let refused = taken(&one, 1).unwrap_err();
    assert!(matches!(refused, BudgetError::RackFull { out: 1, .. }));
    let two = taken(&one, 2).unwrap();
    let full = two
        .charge_voluntary(
            Token(1),
            &BudgetLimits {
                per_rack: 9,
                ..RULE
            },
            upstream(3),
        )
        .unwrap_err();
    assert!(matches!(full, BudgetError::DataCentreFull { out: 2, .. }));
}

/// Guards against a voluntary outage taken while the instance is out for
/// another cause: it would outlast that cause and break the floor.
#[test]
fn an_exhausted_budget_refuses_even_instances_that_are_out() {
    let centre: Vec<_> = (0..4).map(upstream).collect();
    let out = empty().set_ordered(Token(1), &centre, true).unwrap();
    assert_eq!(out.outage_count(), 4);
    assert!(taken(&out, 0).is_err());
    assert!(taken(&out, 8).is_err());
    let back = out.set_ordered(Token(1), &centre, false).unwrap();
    assert!(taken(&back, 0).is_ok());
}

/// Guards against one cause clearing the charge of another.
#[test]
fn the_end_of_an_order_keeps_a_voluntary_outage() {
    let one = taken(&empty(), 0).unwrap();
    let both = one.set_ordered(Token(1), &[upstream(0)], true).unwrap();
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
    assert_eq!(taken(&stamped, 0), Err(expected));
    let involuntary = stamped.set_involuntary(Token(1), upstream(0), true);
    assert_eq!(involuntary, Err(expected));
}
