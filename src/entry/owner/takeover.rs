//! Takes a cell over: makes the former owner's appends void and reads what it left.

use std::time::Duration;

use slog::warn;

use super::Owner;
use crate::entry::port::{Appended, Guard, Platform, Topic};

/// The pause before a step of a takeover is tried again.
const TAKEOVER_RETRY: Duration = Duration::from_millis(100);

impl<P: Platform> Owner<P> {
    /// Makes the appends of every earlier owner void.
    pub(super) async fn fence(&self) -> bool {
        while !self.is_over() {
            let guard = Guard::Writer {
                token: self.token,
                sequence: 0,
            };
            match self.platform.append(Topic::Jobs, &[], guard).await {
                Appended::Done => return true,
                Appended::Fenced => {
                    self.finish("a later owner has written");
                    return false;
                }
                outcome => {
                    warn!(self.log, "cannot fence the log"; "outcome" => ?outcome);
                    tokio::time::sleep(TAKEOVER_RETRY).await;
                }
            }
        }
        false
    }

    /// Reads what the owners before left.
    pub(super) async fn recover(&self) -> bool {
        let mut after: Option<Vec<u8>> = None;
        while !self.is_over() {
            match self.platform.newest(Topic::Jobs, after.as_deref()).await {
                Ok(page) => {
                    let time = self.time();
                    let mut scheduler = self.scheduler.borrow_mut();
                    for (key, value) in &page.records {
                        if !scheduler.restore_record(time, key, value) {
                            warn!(self.log, "record of no known kind"; "key" => String::from_utf8_lossy(key).into_owned());
                        }
                    }
                    if !page.has_more {
                        scheduler.finish_recovery(time, &mut self.outputs.borrow_mut());
                        return true;
                    }
                    after = page.records.last().map(|(key, _)| key.clone());
                }
                Err(failure) => {
                    warn!(self.log, "cannot read the jobs"; "failure" => ?failure);
                    tokio::time::sleep(TAKEOVER_RETRY).await;
                }
            }
        }
        false
    }
}
