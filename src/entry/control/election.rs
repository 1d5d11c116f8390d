//! Reads claims on the cell, makes and renews them, and starts or ends this entry's ownership.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};

use super::{Control, READ_RETRY};
use crate::core::error::Result;
use crate::core::scheduler::id::Token;
use crate::core::tenure::{self, Action, Claim};
use crate::core::time::Instant;
use crate::entry::message::{Ask, Tell};
use crate::entry::owner::{Owner, no_owner, truncated};
use crate::entry::port::{Appended, Guard, Platform, Record, Topic};
use crate::util::metric::label;

/// How long a read of the claims waits for a new one; an outage of the log shows within it and the
/// time that an answer may take.
const CLAIMS_WAIT: Duration = Duration::from_millis(400);
/// How long an entry that handed the cell over because it ran late gives others precedence.
const YIELD_SPAN: Duration = Duration::from_secs(10);
/// The pause between two reads of an entry that owns the cell or has a link to its owner: the link
/// shows sooner when the owner is gone, and every read is paid for.
const LINKED_PAUSE: Duration = Duration::from_millis(1_000);
/// How often it is looked at whether to claim or renew.
const ELECTION_TICK: Duration = Duration::from_millis(50);
/// The pause after a word that was not taken; nothing waits for it.
const PRESENCE_RETRY: Duration = Duration::from_secs(1);
/// An entry that has read the log within this span has seen no outage: reads are 1 s apart.
const READ_LATELY: Duration = Duration::from_millis(1_300);
/// An owner that the log refuses is taken to renew again within this span once the log is back for
/// all: a renewal every 150 ms.
const REFUSAL_CHECK: Duration = Duration::from_millis(200);
/// How many entries are asked at once to take a cell over: one may have lost the log as well.
const SUCCESSORS: usize = 2;
/// How often an entry tries to take over while others append.
const SUCCEED_TRIES: usize = 3;
/// How long an entry that is asked to take over may take: a read and an append of a slow log.
const SUCCEED_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often it is looked at whether the log refuses the owner.
const PASS_ON_TICK: Duration = Duration::from_millis(50);
/// The pause after nobody could take over.
const PASS_ON_PAUSE: Duration = Duration::from_millis(400);
/// A renewal or release that is not answered for so long is not waited for: its connection may be
/// silent.
const NOTICE_PATIENCE: Duration = Duration::from_millis(400);
/// The most renewals and releases under way.
const MAX_NOTICES: u32 = 4;
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
                    self.note_round_trip(sent, wait, is_empty);
                    self.take_claims(sent, page.records, page.next);
                    if is_empty && wait.is_zero() {
                        tokio::time::sleep(ELECTION_TICK).await;
                    }
                    if self.has_owner() {
                        // The time limit is what matters.
                        let wanted = self.read_wanted.notified();
                        let _ = tokio::time::timeout(LINKED_PAUSE, wanted).await;
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
        self.learn_claims(sent, known, next);
    }

    /// Takes in records that stand in the log before `next`.
    fn learn_claims(
        self: &Rc<Control<P>>,
        sent: Instant,
        records: Vec<(u64, tenure::Record)>,
        next: u64,
    ) {
        let former = self
            .elector
            .borrow()
            .claim()
            .map(|claim| (claim.token, claim.is_released));
        self.elector
            .borrow_mut()
            .read(self.clock.now(), sent, records, next);
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
        self.metrics
            .ownership_changes
            .add(1, &label("change", "taken"));
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
                () = control.pass_on_when_refused(&owner) => {
                    owner.finish("another entry took the cell that the log refuses here");
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
                    let renewal = tenure::Record::Renewal(claim);
                    actix_rt::spawn(Rc::clone(&self).append_notice(renewal));
                }
                Some(Action::Release(token)) => {
                    let release = tenure::Record::Release(token);
                    actix_rt::spawn(Rc::clone(&self).append_notice(release));
                }
                None => {}
            }
        }
    }

    /// Appends a renewal or a release, unless those before are still under way: a slow log is not to
    /// be made slower.
    async fn append_notice(self: Rc<Control<P>>, record: tenure::Record) {
        let under_way = self.notices.get();
        let now = self.clock.now();
        let since = now.since(self.notice_sent.get());
        if under_way > 0 && (since < NOTICE_PATIENCE || under_way >= MAX_NOTICES) {
            return;
        }
        self.notice_sent.set(now);
        self.notices.set(under_way + 1);
        if let tenure::Record::Release(token) = record {
            self.append_release(token).await;
        } else {
            let outcome = self.append(&record, Guard::Always).await;
            if outcome != Appended::Done {
                warn!(self.log, "claim not renewed"; "record" => ?record, "outcome" => ?outcome);
            }
        }
        self.notices.set(self.notices.get() - 1);
    }

    /// Tells other entries where this one takes links.
    pub(super) async fn announce(self: Rc<Control<P>>) {
        loop {
            let present = tenure::Record::Present(self.me.clone());
            let outcome = self.append(&present, Guard::Always).await;
            let pause = if outcome == Appended::Done {
                PRESENCE_INTERVAL
            } else {
                PRESENCE_RETRY
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn claim(self: &Rc<Control<P>>, at: u64) {
        let claim = vec![tenure::Record::Claim(self.me.clone())];
        // A log that refuses is busy: the next try waits as after a claim that is not answered.
        if self.append_claim(claim, at).await == Appended::Moved {
            self.elector.borrow_mut().claim_refused();
        }
    }

    /// Appends records of which the last claims the cell for this entry, on condition that the log
    /// ends at `at`. What is in the log then need not be read.
    async fn append_claim(
        self: &Rc<Control<P>>,
        records: Vec<tenure::Record>,
        at: u64,
    ) -> Appended {
        let sent = self.clock.now();
        let outcome = self.append_all(&records, Guard::End(at)).await;
        info!(self.log, "cell claimed"; "at" => at, "outcome" => ?outcome);
        if outcome == Appended::Done {
            let next = at + records.len() as u64;
            self.learn_claims(sent, (at..next).zip(records).collect(), next);
        }
        outcome
    }

    /// Measures the way to the log and back by a read that was sent at `sent`.
    fn note_round_trip(&self, sent: Instant, wait: Duration, is_empty: bool) {
        let took = self.clock.now().since(sent);
        let span = match (is_empty, self.has_owner()) {
            (true, _) => took.saturating_sub(wait),
            // After a pause there is always something to read.
            (false, true) => took,
            (false, false) => return,
        };
        self.elector.borrow_mut().note_round_trip(span);
    }

    /// Takes in what was appended since the last read; returns whether the log could be read.
    async fn read_once(self: &Rc<Control<P>>) -> bool {
        let sent = self.clock.now();
        let from = self.elector.borrow().next();
        match self
            .platform
            .read(Topic::Claims, from, Duration::ZERO)
            .await
        {
            Ok(page) => {
                self.take_claims(sent, page.records, page.next);
                true
            }
            Err(failure) => {
                warn!(self.log, "log cannot be read"; "failure" => ?failure);
                false
            }
        }
    }

    /// Takes the cell over from an owner that asks for it, because it stops or since the log refuses
    /// it. In that case nothing is done when the owner is seen to renew again.
    pub(super) async fn succeed(
        self: &Rc<Control<P>>,
        token: Token,
        is_stopping: bool,
    ) -> Result<Tell> {
        let now = self.clock.now();
        let has_read = self.elector.borrow().has_read_within(now, READ_LATELY);
        if !self.read_once().await {
            return Err(no_owner());
        }
        // The log may just be back for all, the owner included.
        let may_be_back = !has_read || !self.is_log_reachable.get();
        if !is_stopping && may_be_back {
            let renewed = self.elector.borrow().renewed_at();
            tokio::time::sleep(REFUSAL_CHECK).await;
            if !self.read_once().await || self.elector.borrow().renewed_at() != renewed {
                return Err(no_owner());
            }
        }
        for _ in 0..SUCCEED_TRIES {
            let claim = self.elector.borrow().claim().cloned();
            let is_current = claim.is_some_and(|claim| claim.token == token && !claim.is_released);
            if !is_current || !self.elector.borrow().is_candidate() {
                return Err(no_owner());
            }
            let records = vec![
                tenure::Record::Release(token),
                tenure::Record::Claim(self.me.clone()),
            ];
            let at = self.elector.borrow().next();
            match self.append_claim(records, at).await {
                Appended::Done => {
                    return Ok(Tell::Claim(self.elector.borrow().claim().cloned()));
                }
                Appended::Moved if self.read_once().await => {}
                _ => return Err(no_owner()),
            }
        }
        Err(no_owner())
    }

    /// Ends when the log refused the owner's records and another entry has taken the cell.
    async fn pass_on_when_refused(&self, owner: &Owner<P>) {
        loop {
            tokio::time::sleep(PASS_ON_TICK).await;
            if !owner.is_refused() {
                continue;
            }
            if let Some(claim) = self.pass_on(owner, false).await {
                self.elector.borrow_mut().learn(claim);
                return;
            }
            // Others can't reach the log either, or are too slow.
            tokio::time::sleep(PASS_ON_PAUSE).await;
        }
    }

    /// Asks the largest entries to take the cell over and returns the claim of the one that did.
    pub(super) async fn pass_on(&self, owner: &Owner<P>, is_stopping: bool) -> Option<Claim> {
        let mut links = owner.links();
        {
            let elector = self.elector.borrow();
            links.sort_by_key(|link| std::cmp::Reverse(elector.processors_millis(&link.name())));
        }
        links.truncate(SUCCESSORS);
        let ask = Ask::Succeed {
            token: owner.token(),
            is_stopping,
        };
        let asks = links
            .iter()
            .map(|link| link.ask(ask.clone(), SUCCEED_TIMEOUT));
        let tells = futures_util::future::join_all(asks).await;
        let claims = tells.into_iter().filter_map(|tell| match tell {
            Ok(Tell::Claim(claim)) => claim,
            _ => None,
        });
        let claim = claims.max_by_key(|claim| claim.token)?;
        info!(self.log, "cell passed on"; "to" => &claim.owner.name, "token" => claim.token.0);
        Some(claim)
    }

    pub(super) async fn append(&self, record: &tenure::Record, guard: Guard) -> Appended {
        self.append_all(std::slice::from_ref(record), guard).await
    }

    async fn append_all(&self, records: &[tenure::Record], guard: Guard) -> Appended {
        let records: Vec<Record> = records
            .iter()
            .map(|record| {
                let mut value = Vec::new();
                ciborium::into_writer(record, &mut value).expect("claims are plain data");
                Record {
                    key: None,
                    value: Some(value),
                }
            })
            .collect();
        self.platform.append(Topic::Claims, &records, guard).await
    }
}
