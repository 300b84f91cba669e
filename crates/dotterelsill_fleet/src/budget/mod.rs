//! Availability budgets of services.

mod charge;
mod error;
mod record;
mod rule;

pub use charge::Charge;
pub use error::BudgetError;
pub use record::BudgetRecord;
pub use rule::BudgetLimits;
