//! Fault switches of a stand-in.
//!
//! Switches are set as a whole: what is left out is off, so `{}` mends everything.

use laburnum_derive::message;

/// The faults of one stand-in.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused and open ones are closed.
    pub down: bool,
    /// Each request waits this long before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Requests are taken but neither take effect nor are answered until the switch is off.
    pub frozen: bool,
    /// Which state-changing requests take effect while their connection closes unanswered.
    pub answer_lost: Loss,
    /// Connections that are open at the moment of switching never answer again; new ones work.
    pub silent: bool,
    /// A worker fails each task that it starts; a target fails each call.
    pub broken: bool,
}

/// How many answers are lost.
#[message]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// None.
    #[default]
    Never,
    /// Those of the next so many state-changing requests.
    Next(u32),
    /// Those of all state-changing requests.
    Always,
}

impl Loss {
    /// Takes one answer; returns whether it is lost.
    pub fn take(&mut self) -> bool {
        match *self {
            Loss::Never | Loss::Next(0) => false,
            Loss::Next(left) => {
                *self = Loss::Next(left - 1);
                true
            }
            Loss::Always => true,
        }
    }
}
