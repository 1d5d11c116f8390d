//! Handling of tasks that use more than their size.
//!
//! Reported usage lags behind, so an attempt is counted with its last reported usage as soon as
//! that exceeds its size. The worker is commanded to throttle it at once; it is checkpointed when
//! throttling has no effect in time, and stopped when the checkpoint does not complete.

use super::Cell;
use crate::core::placement::message::Output;
use crate::core::placement::policy::Policy;
use crate::core::placement::table::{AttemptKey, Control, Intent};
use crate::core::resource::Amount;
use crate::platform::worker::Action;

/// How far the measured usage may exceed the size, in percent, before it counts as an overrun.
const TOLERANCE_PERCENT: u64 = 10;

impl<P: Policy> Cell<P> {
    /// Processes the reported usage of an attempt.
    pub(super) fn watch_usage(&mut self, key: AttemptKey, usage: Amount, out: &mut Vec<Output>) {
        let attempt = &self.attempts[key];
        let size = attempt.size;
        let intent = attempt.intent;
        let control = attempt.control;
        let is_over = is_overrun(usage, size);
        if intent != Intent::Run {
            return;
        }
        if !is_over {
            self.recount(key, size);
            return;
        }
        self.recount(key, size.max(usage));
        let grace = self.settings.tuning.overrun_grace;
        let has_waited = |control: Control| {
            control.action == Action::Throttle && self.now.since(control.at) >= grace
        };
        match control {
            None => self.throttle(key, out),
            Some(control) if has_waited(control) => {
                self.counters.overruns += 1;
                self.stop(key, Intent::Overrun, Action::Checkpoint, out);
            }
            Some(_) => {}
        }
    }

    /// Commands the worker to limit an attempt to its size.
    fn throttle(&mut self, key: AttemptKey, out: &mut Vec<Output>) {
        self.counters.overruns += 1;
        let now = self.now;
        let attempt = &mut self.attempts[key];
        attempt.control = Some(Control {
            action: Action::Throttle,
            at: now,
        });
        out.push(Output::Control {
            worker: self.workers[attempt.worker].id,
            attempt: attempt.id,
            action: Action::Throttle,
        });
    }
}

/// Returns whether usage exceeds a size by more than the tolerance.
fn is_overrun(usage: Amount, size: Amount) -> bool {
    let is_over = |used: u64, granted: u64| used * 100 > granted * (100 + TOLERANCE_PERCENT);
    is_over(usage.cpu_millis, size.cpu_millis) || is_over(usage.memory_mib, size.memory_mib)
}
