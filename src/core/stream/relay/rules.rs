//! The mechanisms of a relay, for tests.

use laburnum_derive::value;

/// The mechanisms of this module, each of which a test can switch off.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// Suspect a relay that is silent or behind.
    pub takeover: bool,
    /// Read the log for what the relay no longer keeps.
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
