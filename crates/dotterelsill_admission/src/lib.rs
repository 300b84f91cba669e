//! Keys, shares, urgency and queues of callers.
