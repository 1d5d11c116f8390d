//! Focused cases.
