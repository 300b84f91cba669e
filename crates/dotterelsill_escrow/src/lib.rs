//! Division of the upper limit of each team.
