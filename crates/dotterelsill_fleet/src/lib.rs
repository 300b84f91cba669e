//! Pool moves and availability budgets.
