//! Reads the claims on the cell, claims the cell and renews the claim, and starts and ends this
//! entry's ownership.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};

use super::{Control, READ_RETRY_PAUSE};
use crate::core::error::Result;
use crate::core::scheduler::Input;
use crate::core::scheduler::id::Token;
use crate::core::tenure::{self, Action, Claim};
use crate::core::time::Instant;
use crate::entry::message::{EntryRequest, EntryResponse};
use crate::entry::owner::{Owner, first_available, no_owner};
use crate::entry::port::{AppendCondition, AppendOutcome, Platform, Record, Topic};
use crate::util::metric::label;

/// How long an entry that handed the cell over because its decisions were late lets others claim
/// first.
const YIELD_DURATION: Duration = Duration::from_secs(10);
/// How often to check whether a claim, a renewal or a release is due.
const ELECTION_INTERVAL: Duration = Duration::from_millis(50);
/// The pause after an announcement that failed; nothing waits for it.
const ANNOUNCE_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// An entry whose last successful read is at most this old has seen no outage: reads are 1 s apart.
const RECENT_READ: Duration = Duration::from_millis(1_300);
/// Once the log is available to all entries again, an owner that it refused renews its claim within
/// this duration: an owner renews every 150 ms.
const RENEWAL_WAIT: Duration = Duration::from_millis(200);
/// To how many entries an owner sends a takeover request at once: one of them may have lost the log
/// as well.
const MAX_SUCCESSORS: usize = 2;
/// How many times an entry tries to append its claim of a takeover while other entries append
/// records.
const TAKEOVER_TRIES: usize = 3;
/// How many times an entry tries to append a claim of an abandoned cell while other entries append
/// records.
const CLAIM_TRIES: usize = 3;
/// How long an owner asks other entries to take the cell over: a read and an append of a slow log.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often to check whether the log refuses the owner's records.
const REFUSAL_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The pause after a handover that no entry accepted.
const HANDOVER_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The next notice is sent although an earlier one has not been answered for this long: the
/// connection of the earlier one may be dead.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum number of notices (renewals and releases) in flight.
const MAX_NOTICES: u32 = 4;
/// How often to check whether a larger entry should own the cell.
const LARGER_ENTRY_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between announcements of this entry: the part of the log that is retained must always
/// contain one.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(8);

impl<P: Platform> Control<P> {
    /// Reads the claims on the cell as they are appended.
    pub(super) async fn read_claims(self: Rc<Control<P>>) {
        loop {
            let sent = self.clock.now();
            let from = self.elector.borrow().next_offset();
            let wait = self.elector.borrow().read_wait(self.has_owner());
            match self.platform.read(Topic::Claims, from, wait).await {
                Ok(page) => {
                    if !self.is_log_reachable.replace(true) {
                        info!(self.log, "log can be read again");
                        self.changed.notify_waiters();
                    }
                    let is_empty = page.records.is_empty();
                    self.note_round_trip(sent, wait, is_empty);
                    self.decode_claims(sent, page.records, page.next);
                    self.confirm_claim(sent);
                    if is_empty && wait.is_zero() {
                        tokio::time::sleep(ELECTION_INTERVAL).await;
                    }
                    if self.has_owner() {
                        // The next read follows a request for it as well as the timeout.
                        let requested = self.read_requested.notified();
                        let link_age = self.clock.now().since(self.linked_since.get());
                        let pause = tenure::linked_read_pause(link_age);
                        let _ = tokio::time::timeout(pause, requested).await;
                    }
                }
                Err(failure) => {
                    if let Some(first) = first_available(failure) {
                        self.elector.borrow_mut().skip_to(first);
                        continue;
                    }
                    if self.is_log_reachable.replace(false) {
                        warn!(self.log, "log cannot be read"; "failure" => ?failure);
                        self.changed.notify_waiters();
                    }
                    self.elector.borrow_mut().read_failed();
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Notifies the owner, if this entry still is it, that a read sent at `sent` has shown no later
    /// claim.
    fn confirm_claim(&self, sent: Instant) {
        let owner = self.owner.borrow().clone();
        if let Some(owner) = owner.filter(|owner| !owner.is_over()) {
            owner.apply(Input::ClaimConfirmed(sent));
        }
    }

    /// Decodes records that were read from the log and applies them.
    fn decode_claims(
        self: &Rc<Control<P>>,
        sent: Instant,
        records: Vec<(u64, bytes::Bytes)>,
        next: u64,
    ) {
        let mut decoded = Vec::with_capacity(records.len());
        for (offset, bytes) in records {
            match ciborium::from_reader::<tenure::Record, _>(&bytes[..]) {
                Ok(record) => decoded.push((offset, record)),
                Err(error) => {
                    warn!(self.log, "claim record cannot be decoded"; "offset" => offset, "error" => %error);
                    self.elector.borrow_mut().note_skipped();
                }
            }
        }
        self.apply_claims(sent, decoded, next);
    }

    /// Applies records that are in the log before offset `next`.
    fn apply_claims(
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
            .apply_read(self.clock.now(), sent, records, next);
        let claim = self.elector.borrow().claim().cloned();
        let latest = claim.as_ref().map(|claim| (claim.token, claim.is_released));
        if former == latest {
            return;
        }
        if let Some(claim) = claim {
            info!(self.log, "claim on the cell"; "owner" => &claim.owner.name, "token" => claim.token.0,
                "released" => claim.is_released);
        }
        self.update_ownership();
        self.changed.notify_waiters();
    }

    /// Starts or ends this entry's ownership according to the claim in force.
    pub(super) fn update_ownership(self: &Rc<Control<P>>) {
        let token = self.elector.borrow().token();
        let former = self.owner.borrow().clone();
        if former.as_ref().map(|owner| owner.token()) == token {
            return;
        }
        if let Some(former) = former {
            former.finish("another entry claimed the cell");
            self.keep_leases(&former);
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
        actix_rt::spawn(Rc::clone(self).inherit_leases(Rc::clone(&owner)));
        let control = Rc::clone(self);
        let tables = self.tables.subscribe();
        let copy = std::mem::take(&mut *self.standby.borrow_mut());
        actix_rt::spawn(async move {
            tokio::select! {
                // After the ownership has ended by itself, a claim left in force would keep other
                // entries from claiming the cell.
                () = Rc::clone(&owner).run(tables, copy) => control.resign(owner.token()),
                () = owner.wait_until_late() => {
                    let end = control.clock.now() + YIELD_DURATION;
                    control.elector.borrow_mut().yield_until(end);
                    control.release(&owner, "decisions of this entry are late").await;
                }
                () = control.wait_for_larger_entry() => {
                    control.release(&owner, "an entry with more processors is running").await;
                }
                () = control.hand_over_when_refused(&owner) => {
                    owner.finish("the log refused this entry, and another entry took the cell over");
                }
            }
            control.update_readiness();
            control.changed.notify_waiters();
        });
        self.update_readiness();
    }

    /// Returns when the cell should be handed over to a larger entry.
    async fn wait_for_larger_entry(&self) {
        while !self.elector.borrow().should_hand_over(self.clock.now()) {
            tokio::time::sleep(LARGER_ENTRY_POLL_INTERVAL).await;
        }
    }

    /// Claims the cell, and renews and releases the claim, when the elector returns that action.
    pub(super) async fn elect(self: Rc<Control<P>>) {
        loop {
            tokio::time::sleep(ELECTION_INTERVAL).await;
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

    /// Appends a renewal or a release, unless earlier ones are still in flight: more appends would
    /// slow down a slow log further.
    async fn append_notice(self: Rc<Control<P>>, record: tenure::Record) {
        let in_flight = self.notices_in_flight.get();
        let now = self.clock.now();
        let since = now.since(self.notice_sent_at.get());
        if in_flight > 0 && (since < NOTICE_TIMEOUT || in_flight >= MAX_NOTICES) {
            return;
        }
        self.notice_sent_at.set(now);
        self.notices_in_flight.set(in_flight + 1);
        if let tenure::Record::Release(token) = record {
            self.append_release(token).await;
        } else {
            let outcome = self.append(&record, AppendCondition::Always).await;
            if outcome != AppendOutcome::Done {
                warn!(self.log, "claim not renewed"; "record" => ?record, "outcome" => ?outcome);
            }
        }
        self.notices_in_flight.set(self.notices_in_flight.get() - 1);
    }

    /// Announces to the other entries, through the log, at which address this entry accepts links.
    pub(super) async fn announce(self: Rc<Control<P>>) {
        loop {
            let present = tenure::Record::Present(self.this_entry.clone());
            let outcome = self.append(&present, AppendCondition::Always).await;
            let pause = if outcome == AppendOutcome::Done {
                ANNOUNCE_INTERVAL
            } else {
                ANNOUNCE_RETRY_PAUSE
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Claims the cell. Records that are no claim and no renewal, such as the announcements of all
    /// entries after an outage, do not cost this entry its place in the claiming order: it reads them
    /// and tries again at once.
    async fn claim(self: &Rc<Control<P>>, mut at: u64) {
        let silent_since = self.elector.borrow().silent_since();
        for _ in 0..CLAIM_TRIES {
            let claim = vec![tenure::Record::Claim(self.this_entry.clone())];
            // A log that refuses the append is busy: the next try waits as it does after a claim that
            // was not answered.
            if self.append_claim(claim, at).await != AppendOutcome::Moved {
                return;
            }
            // Claims and renewals end the silence.
            if !self.read_once().await || self.elector.borrow().silent_since() != silent_since {
                break;
            }
            at = self.elector.borrow().next_offset();
        }
        self.elector.borrow_mut().claim_conflicted();
    }

    /// Appends records of which the last claims the cell for this entry, on condition that the log
    /// ends at `at`. Records that were appended are applied without reading them back.
    async fn append_claim(
        self: &Rc<Control<P>>,
        records: Vec<tenure::Record>,
        at: u64,
    ) -> AppendOutcome {
        let sent = self.clock.now();
        let outcome = self.append_all(&records, AppendCondition::End(at)).await;
        info!(self.log, "cell claimed"; "at" => at, "outcome" => ?outcome);
        if outcome == AppendOutcome::Done {
            let next = at + records.len() as u64;
            self.apply_claims(sent, (at..next).zip(records).collect(), next);
        }
        outcome
    }

    /// Records the round trip to the log, as measured by a read that was sent at `sent`.
    fn note_round_trip(&self, sent: Instant, wait: Duration, is_empty: bool) {
        let took = self.clock.now().since(sent);
        let span = match (is_empty, self.has_owner()) {
            (true, _) => took.saturating_sub(wait),
            // After the pause between reads there are always records, so the read did not wait.
            (false, true) => took,
            (false, false) => return,
        };
        self.elector.borrow_mut().note_round_trip(span);
    }

    /// Reads and applies what was appended since the last read; returns whether the read succeeded.
    pub(super) async fn read_once(self: &Rc<Control<P>>) -> bool {
        let sent = self.clock.now();
        let from = self.elector.borrow().next_offset();
        match self
            .platform
            .read(Topic::Claims, from, Duration::ZERO)
            .await
        {
            Ok(page) => {
                self.decode_claims(sent, page.records, page.next);
                true
            }
            Err(failure) => {
                warn!(self.log, "log cannot be read"; "failure" => ?failure);
                false
            }
        }
    }

    /// Takes the cell over from an owner that requests it, either because the owner gives up the cell
    /// or because the log refuses its records. In the second case the takeover is declined when the
    /// owner renews its claim again.
    pub(super) async fn take_over(
        self: &Rc<Control<P>>,
        token: Token,
        is_stopping: bool,
    ) -> Result<EntryResponse> {
        let now = self.clock.now();
        let has_read = self.elector.borrow().has_read_within(now, RECENT_READ);
        if !self.read_once().await {
            return Err(no_owner());
        }
        // The log may just have become available again to all entries, the owner included.
        let may_be_available = !has_read || !self.is_log_reachable.get();
        if !is_stopping && may_be_available {
            let silent_since = self.elector.borrow().silent_since();
            tokio::time::sleep(RENEWAL_WAIT).await;
            if !self.read_once().await || self.elector.borrow().silent_since() != silent_since {
                return Err(no_owner());
            }
        }
        for _ in 0..TAKEOVER_TRIES {
            let claim = self.elector.borrow().claim().cloned();
            let is_current = claim.is_some_and(|claim| claim.token == token && !claim.is_released);
            if !is_current || !self.elector.borrow().is_candidate() {
                return Err(no_owner());
            }
            let records = vec![
                tenure::Record::Release(token),
                tenure::Record::Claim(self.this_entry.clone()),
            ];
            let at = self.elector.borrow().next_offset();
            match self.append_claim(records, at).await {
                AppendOutcome::Done => {
                    return Ok(EntryResponse::Claim(self.elector.borrow().claim().cloned()));
                }
                AppendOutcome::Moved if self.read_once().await => {}
                _ => return Err(no_owner()),
            }
        }
        Err(no_owner())
    }

    /// Returns when the log has refused the owner's records and another entry has taken the cell over.
    async fn hand_over_when_refused(&self, owner: &Owner<P>) {
        loop {
            tokio::time::sleep(REFUSAL_POLL_INTERVAL).await;
            if !owner.is_refused() {
                continue;
            }
            if let Some(claim) = self.hand_over(owner, false).await {
                self.elector.borrow_mut().merge_claim(claim);
                return;
            }
            // The other entries cannot use the log either, or are too slow.
            tokio::time::sleep(HANDOVER_RETRY_PAUSE).await;
        }
    }

    /// Requests other entries, in the order in which they would claim the cell, to take it over, and
    /// returns the claim of the one that did. An entry that is stopping as well declines at once, and
    /// the next ones are asked.
    pub(super) async fn hand_over(&self, owner: &Owner<P>, is_stopping: bool) -> Option<Claim> {
        let mut links = owner.links();
        links.sort_by_cached_key(|link| self.elector.borrow().claiming_order(&link.name()));
        let request = EntryRequest::TakeOver {
            token: owner.token(),
            is_stopping,
        };
        let end = self.clock.now() + TAKEOVER_TIMEOUT;
        let mut asked = 0;
        for successors in links.chunks(MAX_SUCCESSORS) {
            let timeout = end.since(self.clock.now());
            // A successor may have fenced the log before its response arrived.
            if timeout.is_zero() || owner.is_over() {
                break;
            }
            asked += successors.len();
            let requests = successors
                .iter()
                .map(|link| link.request(request.clone(), timeout));
            let responses = futures_util::future::join_all(requests).await;
            let claims = responses.into_iter().filter_map(|response| match response {
                Ok(EntryResponse::Claim(claim)) => claim,
                _ => None,
            });
            if let Some(claim) = claims.max_by_key(|claim| claim.token) {
                info!(self.log, "cell passed on"; "to" => &claim.owner.name,
                    "token" => claim.token.0, "asked" => asked);
                return Some(claim);
            }
        }
        warn!(self.log, "no entry has confirmed that it took the cell over"; "token" => owner.token().0, "asked" => asked,
            "links" => links.len());
        None
    }

    pub(super) async fn append(
        &self,
        record: &tenure::Record,
        condition: AppendCondition,
    ) -> AppendOutcome {
        self.append_all(std::slice::from_ref(record), condition)
            .await
    }

    async fn append_all(
        &self,
        records: &[tenure::Record],
        condition: AppendCondition,
    ) -> AppendOutcome {
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
        self.platform
            .append(Topic::Claims, &records, condition)
            .await
    }
}
