//! The parts of a relay that a test can switch off.

use laburnum_derive::value;

/// The mechanisms of a relay, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Suspect a source that is silent or behind, and switch to another.
    pub takeover: bool,
    /// Fetch from the log the entries that the source no longer keeps.
    pub catch_up: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            takeover: true,
            catch_up: true,
        }
    }
}
