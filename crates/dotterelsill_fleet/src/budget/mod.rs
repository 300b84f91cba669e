//! Availability budgets of services, which limit how many instances are out at
//! the same time.

mod charge;
mod error;
mod limits;
mod record;

pub use charge::Charge;
pub use error::BudgetError;
pub use limits::BudgetLimits;
pub use record::BudgetRecord;
