//! Operations that a caller or an operator can ask for.
