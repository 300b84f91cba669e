//! Availability budgets of services, which limit how many instances are out at
//! the same time.

mod charge;
mod error;
mod record;
mod rule;

pub use charge::Charge;
pub use error::BudgetError;
pub use record::BudgetRecord;
pub use rule::BudgetLimits;
