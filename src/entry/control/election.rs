//! Reads claims on the cell, makes and renews them, and starts or ends this entry's ownership.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};

use super::{Control, READ_RETRY};
use crate::core::tenure::{self, Action};
use crate::core::time::Instant;
use crate::entry::owner::{Owner, truncated};
use crate::entry::port::{Appended, Guard, Platform, Record, Topic};
use crate::util::metric::label;

/// How long a read of the claims waits for a new one; an outage of the log shows within it and the
/// time that an answer may take.
const CLAIMS_WAIT: Duration = Duration::from_millis(400);
/// How long an entry that handed the cell over because it ran late gives others precedence.
const YIELD_SPAN: Duration = Duration::from_secs(10);
/// How often it is looked at whether to claim or renew.
const ELECTION_TICK: Duration = Duration::from_millis(50);
/// How often it is looked at whether a larger entry should own the cell.
const HAND_OVER_TICK: Duration = Duration::from_millis(500);
/// From one word of this entry's presence in the log to the next: others must find one in what the
/// log keeps.
const PRESENCE_INTERVAL: Duration = Duration::from_secs(8);

impl<P: Platform> Control<P> {
    /// Follows the claims on the cell.
    pub(super) async fn read_claims(self: Rc<Control<P>>) {
        loop {
            let sent = self.clock.now();
            let from = self.elector.borrow().next();
            // The first read finds the end of the log, and must not wait for more.
            let wait = if self.elector.borrow().claim().is_some() {
                CLAIMS_WAIT
            } else {
                Duration::ZERO
            };
            match self.platform.read(Topic::Claims, from, wait).await {
                Ok(page) => {
                    if !self.is_log_reachable.replace(true) {
                        info!(self.log, "log can be read again");
                    }
                    let is_empty = page.records.is_empty();
                    self.take_claims(sent, page.records, page.next);
                    if is_empty && wait.is_zero() {
                        tokio::time::sleep(ELECTION_TICK).await;
                    }
                }
                Err(failure) => {
                    if let Some(first) = truncated(failure) {
                        self.elector.borrow_mut().truncated(first);
                        continue;
                    }
                    if self.is_log_reachable.replace(false) {
                        warn!(self.log, "log cannot be read"; "failure" => ?failure);
                        self.changed.notify_waiters();
                    }
                    self.elector.borrow_mut().read_failed();
                    tokio::time::sleep(READ_RETRY).await;
                }
            }
        }
    }

    fn take_claims(
        self: &Rc<Control<P>>,
        sent: Instant,
        records: Vec<(u64, bytes::Bytes)>,
        next: u64,
    ) {
        let mut known = Vec::with_capacity(records.len());
        for (offset, bytes) in records {
            match ciborium::from_reader::<tenure::Record, _>(&bytes[..]) {
                Ok(record) => known.push((offset, record)),
                Err(error) => {
                    warn!(self.log, "unreadable claim"; "offset" => offset, "error" => %error);
                }
            }
        }
        let former = self
            .elector
            .borrow()
            .claim()
            .map(|claim| (claim.token, claim.is_released));
        self.elector
            .borrow_mut()
            .read(self.clock.now(), sent, known, next);
        let claim = self.elector.borrow().claim().cloned();
        let latest = claim.as_ref().map(|claim| (claim.token, claim.is_released));
        if former == latest {
            return;
        }
        if let Some(claim) = claim {
            info!(self.log, "claim on the cell"; "owner" => &claim.owner.name, "token" => claim.token.0,
                "released" => claim.is_released);
        }
        self.change_owner();
        self.changed.notify_waiters();
    }

    /// Starts or ends this entry's ownership, as the claims say.
    pub(super) fn change_owner(self: &Rc<Control<P>>) {
        let token = self.elector.borrow().token();
        let former = self.owner.borrow().clone();
        if former.as_ref().map(|owner| owner.token()) == token {
            return;
        }
        if let Some(former) = former {
            former.finish("another entry claimed the cell");
        }
        let Some(token) = token else {
            *self.owner.borrow_mut() = None;
            return;
        };
        let owner = Owner::new(
            self.platform.clone(),
            self.settings.rules(),
            token,
            self.clock,
            self.log.clone(),
            self.metrics.clone(),
        );
        self.metrics.ownership.add(1, &label("change", "taken"));
        *self.owner.borrow_mut() = Some(Rc::clone(&owner));
        let control = Rc::clone(self);
        let tables = self.tables.subscribe();
        actix_rt::spawn(async move {
            tokio::select! {
                // Where it ends by itself, a claim that stays would keep others from the cell.
                () = Rc::clone(&owner).run(tables) => control.resign(owner.token()),
                () = owner.runs_late() => {
                    let end = control.clock.now() + YIELD_SPAN;
                    control.elector.borrow_mut().yield_until(end);
                    control.release(&owner, "this entry runs late").await;
                }
                () = control.is_outclassed() => {
                    control.release(&owner, "an entry with more processors is there").await;
                }
            }
            control.note_ready();
            control.changed.notify_waiters();
        });
        self.note_ready();
    }

    /// Ends when the cell should be left to a larger entry.
    async fn is_outclassed(&self) {
        while !self.elector.borrow().should_hand_over(self.clock.now()) {
            tokio::time::sleep(HAND_OVER_TICK).await;
        }
    }

    /// Claims and renews.
    pub(super) async fn elect(self: Rc<Control<P>>) {
        loop {
            tokio::time::sleep(ELECTION_TICK).await;
            let action = self.elector.borrow_mut().action(self.clock.now());
            match action {
                Some(Action::Claim { at }) => self.claim(at).await,
                Some(Action::Renew(claim)) => {
                    let token = claim.token;
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move {
                        let renewal = tenure::Record::Renewal(claim);
                        let outcome = control.append(&renewal, Guard::Always).await;
                        if outcome != Appended::Done {
                            warn!(control.log, "claim not renewed"; "token" => token.0, "outcome" => ?outcome);
                        }
                    });
                }
                Some(Action::Release(token)) => {
                    let control = Rc::clone(&self);
                    actix_rt::spawn(async move { control.append_release(token).await });
                }
                None => {}
            }
        }
    }

    /// Tells other entries where this one takes links.
    pub(super) async fn announce(self: Rc<Control<P>>) {
        loop {
            let present = tenure::Record::Present(self.me.clone());
            let outcome = self.append(&present, Guard::Always).await;
            let pause = if outcome == Appended::Done {
                PRESENCE_INTERVAL
            } else {
                READ_RETRY
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn claim(&self, at: u64) {
        let claim = tenure::Record::Claim(self.me.clone());
        let outcome = self.append(&claim, Guard::End(at)).await;
        info!(self.log, "cell claimed"; "at" => at, "outcome" => ?outcome);
        if matches!(outcome, Appended::Moved | Appended::Refused) {
            self.elector.borrow_mut().claim_refused();
        }
    }

    pub(super) async fn append(&self, record: &tenure::Record, guard: Guard) -> Appended {
        let mut value = Vec::new();
        ciborium::into_writer(record, &mut value).expect("claims are plain data");
        let record = Record {
            key: None,
            value: Some(value),
        };
        self.platform.append(Topic::Claims, &[record], guard).await
    }
}
