//! Keeps a copy of the jobs in the log while this entry is among the first to claim the cell.

use std::rc::Rc;
use std::time::Duration;

use slog::info;

use super::{Control, READ_RETRY_PAUSE};
use crate::entry::port::Platform;
use crate::entry::standby;

/// How many entries keep a copy: an owner that stops asks as many at once to take the cell over.
const MAX_STANDBYS: u32 = 2;
/// The pause between two reads of changes. What changes meanwhile is one read at a takeover.
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);
/// How often to check whether this entry should keep a copy.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl<P: Platform> Control<P> {
    /// Reads the jobs while this entry is a standby, and drops its copy when it no longer is one.
    pub(super) async fn follow_jobs(self: Rc<Control<P>>) {
        let mut was_current = false;
        loop {
            if !self.is_standby() {
                was_current = false;
                self.standby.take();
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            let read = self.standby.borrow().next_read();
            let result = standby::fetch(&self.platform, &read).await;
            let mut copy = self.standby.borrow_mut();
            // An ownership that began meanwhile has taken the copy.
            if copy.next_read() != read || !self.is_standby() {
                continue;
            }
            let is_read = copy.apply(result).is_ok();
            let is_current = copy.is_current();
            if is_current && !was_current {
                info!(self.log, "copy of the jobs is complete"; "pages" => copy.pages(),
                    "records" => copy.records().count());
            }
            was_current = is_current;
            drop(copy);
            if !is_read {
                tokio::time::sleep(READ_RETRY_PAUSE).await;
            } else if is_current {
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }

    fn is_standby(&self) -> bool {
        let is_owner = self.owner.borrow().is_some();
        let elector = self.elector.borrow();
        let is_successor = elector.claim().is_some() && elector.claim_rank() < MAX_STANDBYS;
        !is_owner && is_successor && elector.is_candidate()
    }
}
