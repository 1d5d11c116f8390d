//! Fault switches of a stand-in.
//!
//! All switches are set together: a switch that is left out is off, so `{}` clears all faults.

use laburnum_derive::message;

/// The fault switches of one stand-in.
#[message]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// New connections are refused, and open connections are closed.
    pub down: bool,
    /// The delay before each request takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Requests are accepted but neither take effect nor get a response until the switch is off.
    pub frozen: bool,
    /// Which state-changing requests take effect but have their connection closed without a
    /// response.
    pub answer_lost: ResponseLoss,
    /// Connections that are open when the switch is set never carry a response again; new
    /// connections work.
    pub silent: bool,
    /// A worker fails each task that it starts; a target fails each call.
    pub broken: bool,
}

/// How many responses are lost.
#[message]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum ResponseLoss {
    /// No response is lost.
    #[default]
    Never,
    /// The responses to this many of the next state-changing requests are lost.
    Next(u32),
    /// The responses to all state-changing requests are lost.
    Always,
}

impl ResponseLoss {
    /// Returns whether the next response is lost; reduces the count of [`ResponseLoss::Next`].
    pub fn consume(&mut self) -> bool {
        match *self {
            ResponseLoss::Never | ResponseLoss::Next(0) => false,
            ResponseLoss::Next(count) => {
                *self = ResponseLoss::Next(count - 1);
                true
            }
            ResponseLoss::Always => true,
        }
    }
}
