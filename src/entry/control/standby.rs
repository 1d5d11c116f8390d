//! Keeps a copy of the jobs in the log while this entry is among the first to claim the cell.

use std::rc::Rc;
use std::time::Duration;

use slog::info;

use super::{Control, READ_RETRY_PAUSE};
use crate::entry::port::{Platform, ReadError};
use crate::entry::standby::{self, Answer, Read};

/// How many entries keep a copy: an owner that stops asks as many at once to take the cell over.
const MAX_STANDBYS: u32 = 2;
/// The pause between two reads of changes. What changes meanwhile is one read at a takeover.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);
/// How often to check whether this entry should keep a copy.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl<P: Platform> Control<P> {
    /// Reads the jobs while this entry is a standby, and drops its copy when it no longer is one.
    pub(super) async fn follow_jobs(self: Rc<Control<P>>) {
        loop {
            let pause = if self.is_standby() {
                let read = self.standby.borrow().next_read();
                let result = standby::fetch(&self.platform, &read).await;
                self.apply_to_copy(&read, result)
            } else {
                self.standby.take();
                CHECK_INTERVAL
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Applies the result of `read` to the copy of the jobs and returns the pause before the next read.
    fn apply_to_copy(&self, read: &Read, result: Result<Answer, ReadError>) -> Duration {
        let mut copy = self.standby.borrow_mut();
        // An ownership that began meanwhile has taken the copy.
        if copy.next_read() != *read || !self.is_standby() {
            return Duration::ZERO;
        }
        let is_first = !copy.is_complete();
        if copy.apply(result).is_err() {
            return READ_RETRY_PAUSE;
        }
        if is_first && copy.is_complete() {
            info!(self.log, "copy of the jobs is complete"; "pages" => copy.pages(),
                "records" => copy.records().count());
        }
        if copy.is_current() {
            FOLLOW_PAUSE
        } else {
            Duration::ZERO
        }
    }

    fn is_standby(&self) -> bool {
        let is_owner = self.owner.borrow().is_some();
        let elector = self.elector.borrow();
        let is_successor = elector.claim().is_some() && elector.claim_rank() < MAX_STANDBYS;
        !is_owner && is_successor && elector.is_candidate()
    }
}
