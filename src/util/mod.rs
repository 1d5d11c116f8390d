//! Helpers with one job each.
