//! What is wrong with a document.

use std::fmt;

use laburnum_derive::message;

/// How many faults of one document are listed.
pub(super) const FAULTS: usize = 100;

/// One fault of a document.
#[message]
pub struct Fault {
    /// Where the fault is, as keys joined by dots.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

impl Fault {
    /// Makes a fault at `path`.
    pub fn new(path: &str, problem: impl Into<String>, remedy: impl Into<String>) -> Fault {
        Fault {
            path: path.to_owned(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}

/// Adds a fault unless the list is full.
pub(super) fn add(faults: &mut Vec<Fault>, fault: Fault) {
    if faults.len() < FAULTS {
        faults.push(fault);
    }
}
