//! Faults of a configuration document.

use std::fmt;

use laburnum_derive::message;

/// The maximum number of faults that are listed for one document.
pub(super) const MAX_FAULTS: usize = 100;

/// One fault of a document.
#[message]
pub struct Fault {
    /// The path of the faulty value: its keys joined by dots; empty for the whole document.
    pub path: String,
    /// A description of the fault that follows the path in a sentence, such as "is not a name".
    pub problem: String,
    /// How to correct the fault.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault at `path`.
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

/// Adds a fault unless the list has [`MAX_FAULTS`].
pub(super) fn add(faults: &mut Vec<Fault>, fault: Fault) {
    if faults.len() < MAX_FAULTS {
        faults.push(fault);
    }
}
