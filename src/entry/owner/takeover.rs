//! Takes a cell over: fences the log against earlier owners and reads the jobs that they recorded.

use std::time::Duration;

use slog::{info, warn};

use super::Owner;
use crate::entry::port::{AppendCondition, AppendOutcome, Platform, Topic};
use crate::entry::standby::{self, Copy};

/// The pause before a step of a takeover is tried again.
const TAKEOVER_RETRY: Duration = Duration::from_millis(100);

impl<P: Platform> Owner<P> {
    /// Fences the log, so that it refuses all further appends of earlier owners. Returns whether this
    /// succeeded before the ownership ended.
    pub(super) async fn fence(&self) -> bool {
        while !self.is_over() {
            let condition = AppendCondition::Writer {
                token: self.token,
                sequence: 0,
            };
            match self.platform.append(Topic::Jobs, &[], condition).await {
                AppendOutcome::Done => return true,
                AppendOutcome::Fenced => {
                    self.finish("a later owner has written");
                    return false;
                }
                outcome => {
                    warn!(self.log, "log cannot be fenced"; "outcome" => ?outcome);
                    tokio::time::sleep(TAKEOVER_RETRY).await;
                }
            }
        }
        false
    }

    /// Restores the scheduler's state from the records of earlier owners. `copy` is what this entry has
    /// read of them before; the rest is read now, after the log has been fenced. Returns whether this
    /// succeeded before the ownership ended.
    pub(super) async fn recover(&self, mut copy: Copy) -> bool {
        let pages_before = copy.pages();
        let mut reads = 0;
        while !copy.is_current() || reads == 0 {
            let read = copy.next_read();
            let result = tokio::select! {
                result = standby::fetch(&self.platform, &read) => result,
                () = self.over.notified() => return false,
            };
            reads += 1;
            if let Err(failure) = copy.apply(result) {
                warn!(self.log, "jobs cannot be read"; "failure" => ?failure);
                tokio::time::sleep(TAKEOVER_RETRY).await;
            }
            if self.is_over() {
                return false;
            }
        }
        info!(self.log, "jobs read"; "token" => self.token.0, "reads" => reads,
            "pages_before" => pages_before, "records" => copy.records().count());
        self.restore(&copy);
        true
    }

    fn restore(&self, copy: &Copy) {
        let time = self.time();
        let mut scheduler = self.scheduler.borrow_mut();
        for (key, value) in copy.records() {
            if !scheduler.restore_record(time, key, value) {
                warn!(self.log, "job record of unknown kind"; "key" => String::from_utf8_lossy(key).into_owned());
            }
        }
        scheduler.finish_recovery(time, &mut self.outputs.borrow_mut());
    }
}
