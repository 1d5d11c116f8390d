//! Elects the entry that owns a cell, through claims on a log with conditional appends.
//!
//! A claim is appended on condition that the log ends at the offset up to which the claimant has
//! read. The last claim in the log names the owner. Its offset determines the fencing token, so
//! tokens increase with every owner, also across restarts and the loss of all entries. The owner
//! renews its claim; another entry claims the cell when successful reads show no renewal for a
//! while. Safety depends on no clock: workers and the log refuse commands and appends with a lower
//! token, so an owner that was paused cannot act.
//!
//! Failed reads are no evidence that the owner is gone: while the log is unavailable to all entries,
//! no entry claims the cell and the owner continues.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use laburnum_derive::{message, state};

use super::scheduler::id::Token;
use super::time::Instant;

/// A record of the claims topic.
#[message]
pub enum Record {
    /// The entry that wrote the record owns the cell from this record on.
    Claim(Owner),
    /// The owner is alive. The record repeats the whole claim, for entries that start reading when
    /// the log no longer has the claim itself.
    Renewal(Claim),
    /// The owner with this token gives up the cell.
    Release(Token),
    /// The entry that wrote the record is running and accepts links; other entries may request the
    /// current claim from it.
    Present(Owner),
}

/// An entry, as it identifies itself in the log.
#[message]
pub struct Owner {
    /// The entry's name.
    pub name: String,
    /// The address at which it accepts links.
    pub address: SocketAddr,
    /// Distinguishes restarts of the same entry.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The share of processors that its VM has, in thousandths of a core.
    pub processors_millis: u32,
}

/// The claim in force.
#[message]
pub struct Claim {
    /// The entry that made the claim.
    pub owner: Owner,
    /// The fencing token: the offset of the claim plus one.
    pub token: Token,
    /// Whether the owner has given up the cell.
    pub is_released: bool,
}

/// What an entry should do now.
#[state]
pub enum Action {
    /// Append a claim.
    Claim {
        /// The offset at which the log must end for the append to succeed.
        at: u64,
    },
    /// Append a renewal of this claim.
    Renew(Claim),
    /// Append a release of the claim with this token.
    Release(Token),
}

/// The intervals of renewals and of the claims that follow missing renewals.
#[message]
#[derive(Copy)]
pub struct Rules {
    /// The interval between renewals.
    pub renewal: Duration,
    /// An entry claims the cell after this long without a renewal.
    pub silence: Duration,
    /// The same for an entry that cannot connect to the owner either.
    pub unreachable_silence: Duration,
}

/// Decides when one entry claims the cell, renews its claim and releases it.
#[state]
pub struct Elector {
    rules: Rules,
    this_entry: Owner,
    /// The last claim that was read from the log or reported by another entry.
    claim: Option<Claim>,
    /// The claim in the log before the last one; `None` if it is not known for certain.
    former_claim: Option<Claim>,
    /// Whether records may have been skipped since the last claim was read.
    has_skipped: bool,
    /// The offset to read from next.
    next_offset: u64,
    /// The time since which all reads have succeeded and none has shown a claim or a renewal of the
    /// current claim; `None` after a failed read.
    silent_since: Option<Instant>,
    /// When the last successful read was answered.
    last_read_at: Instant,
    /// When the latest successful read was sent.
    last_read_sent: Instant,
    /// The duration of a read of the log, without the time that the read waited for new records.
    /// Entries wait for multiples of it, so that the nearest entry claims first.
    round_trip: Duration,
    /// When this entry last sent a renewal or a release.
    last_notice_at: Option<Instant>,
    /// When this entry sent a claim whose outcome is not known yet.
    claim_sent_at: Option<Instant>,
    /// The claim that this entry has given up, while its release has not been read from the log.
    unconfirmed_release: Option<Token>,
    /// Whether this entry may become the owner.
    is_candidate: bool,
    /// The time until which this entry lets others claim first.
    yields_until: Instant,
    /// When the release of the last claim was read, or when this entry gave the claim up.
    released_at: Option<Instant>,
    /// The claim to whose owner this entry cannot connect.
    unreachable_claim: Option<Token>,
    /// When the claim in force was read.
    claim_read_at: Instant,
    /// How many renewals of the claim in force have been read.
    renewals: u32,
    /// How many claims before the one in force, without a release in between, were replaced before
    /// their owners had settled.
    unsettled_claims: u32,
    /// The other entries by name, as described by their last records.
    peers: BTreeMap<String, Peer>,
}

/// Another entry.
#[state]
struct Peer {
    address: SocketAddr,
    processors_millis: u32,
    /// When the last record that it wrote about itself was read.
    last_seen: Instant,
}

/// A claim on a cell that no other entry owns is delayed by this many round trips to the log, so that
/// the entry nearest to the log wins.
const UNOWNED_ROUND_TRIPS: u32 = 8;
/// The same after a release, when all entries are known to read the log.
const RELEASED_ROUND_TRIPS: u32 = 2;
/// An entry that has written nothing for this long is left out of the claiming order: it has missed
/// two announcements.
const PEER_TIMEOUT: Duration = Duration::from_secs(17);
/// An entry leaves the cell to an entry with at least this many times its processors: placing tasks
/// on all workers takes a good part of a VM, and a cell should move only for a clear gain.
const SIZE_RATIO: u32 = 2;
/// Each entry claims this many round trips after the entry before it in the claiming order: enough
/// for a read and for an append that waits for another append, so that the earlier claim is visible.
const RANK_ROUND_TRIPS: u32 = 4;
/// An owner has settled when its claim has been renewed this many times, which takes 3 s.
const SETTLED_RENEWALS: u32 = 20;
/// The maximum number of times that the silence allowed to an owner is doubled: an owner that is lost
/// while it takes the cell over is replaced after 9 s at the latest.
const MAX_DOUBLINGS: u32 = 3;
/// The extra delay of a claim by an entry that has read a record of a larger one: three times the
/// time that the larger entry needs to claim first.
const SMALLER_ENTRY_DELAY: Duration = Duration::from_millis(1_000);
/// An owner keeps the cell at least this long before it hands it to a larger entry, so that entries
/// that start and stop often don't move the cell all the time.
const MIN_TENURE: Duration = Duration::from_secs(3);
/// The extra delay of a claim by an entry that lets others claim first.
const YIELD_DELAY: Duration = Duration::from_millis(1_500);
/// How long an entry may be without a link to a living owner before it sends callers to other entries.
const LINK_GRACE: Duration = Duration::from_millis(300);
/// The same after a new claim: an owner that reads the jobs of a cell on a small VM accepts links late.
const TAKEOVER_GRACE: Duration = Duration::from_millis(1_000);
/// How long a read by an entry without an owner waits for a new record. An entry measures silence by
/// the answers to its reads, so this bounds how late it claims, and how close to the entry before it.
const UNLINKED_READ_WAIT: Duration = Duration::from_millis(100);
/// How long a read by an entry with an owner waits for a new record. It bounds, together with the time
/// that an answer may take, how late an outage of the log is noticed.
const LINKED_READ_WAIT: Duration = Duration::from_millis(400);
/// The pause between two reads by an entry that owns the cell or has a link to its owner: the link
/// shows the loss of the owner earlier, and every read costs money.
const LINKED_READ_PAUSE: Duration = Duration::from_millis(1_000);
/// The same while the link is new: an owner that has restarted accepts links, and only the log shows
/// that its claim is from before.
const NEW_LINK_READ_PAUSE: Duration = Duration::from_millis(150);
/// How long a link counts as new.
const NEW_LINK_AGE: Duration = Duration::from_millis(600);
/// How long an unanswered claim counts as in flight.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the pause between two reads of the claims by an entry whose link to the owner is this old.
pub fn linked_read_pause(link_age: Duration) -> Duration {
    if link_age < NEW_LINK_AGE {
        NEW_LINK_READ_PAUSE
    } else {
        LINKED_READ_PAUSE
    }
}

impl Elector {
    /// Creates the elector of `this_entry`.
    pub fn new(rules: Rules, this_entry: Owner) -> Elector {
        Elector {
            rules,
            this_entry,
            claim: None,
            former_claim: None,
            has_skipped: false,
            next_offset: 0,
            silent_since: None,
            last_read_at: Instant(0),
            last_read_sent: Instant(0),
            round_trip: Duration::ZERO,
            last_notice_at: None,
            claim_sent_at: None,
            unconfirmed_release: None,
            is_candidate: true,
            yields_until: Instant(0),
            released_at: None,
            unreachable_claim: None,
            claim_read_at: Instant(0),
            renewals: 0,
            unsettled_claims: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the last claim that is known, also after its release.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns the claim in the log before the last one; `None` if it is not known for certain.
    pub fn former_claim(&self) -> Option<&Claim> {
        self.former_claim.as_ref()
    }

    /// Returns this entry's token while its claim is in force.
    pub fn token(&self) -> Option<Token> {
        let claim = self.claim.as_ref()?;
        (claim.owner == self.this_entry && !claim.is_released).then_some(claim.token)
    }

    /// Whether this entry may become the owner.
    pub fn is_candidate(&self) -> bool {
        self.is_candidate
    }

    /// Excludes this entry from ownership: it sends no more claims and renewals.
    pub fn retire(&mut self) {
        self.is_candidate = false;
    }

    /// Gives up the claim with `token`, if it is this entry's. The claim is no longer renewed, and its
    /// release is sent repeatedly until it is in the log.
    pub fn resign(&mut self, now: Instant, token: Token) {
        let this_entry = &self.this_entry;
        let claim = self
            .claim
            .as_mut()
            .filter(|claim| claim.token == token && claim.owner == *this_entry);
        if let Some(claim) = claim.filter(|claim| !claim.is_released) {
            claim.is_released = true;
            self.released_at = Some(now);
            self.unconfirmed_release = Some(token);
            self.last_notice_at = Some(now);
        }
    }

    /// Records that this entry's release of a claim is in the log.
    pub fn note_released(&mut self, token: Token) {
        if self.unconfirmed_release == Some(token) {
            self.unconfirmed_release = None;
        }
    }

    /// Lets other entries claim first until `end`, because this entry is slow.
    pub fn yield_until(&mut self, end: Instant) {
        self.yields_until = end;
    }

    /// Applies the result of a read that was sent at `sent` and returned `records` and the offset
    /// after them. Records that were applied before are ignored.
    pub fn apply_read(
        &mut self,
        now: Instant,
        sent: Instant,
        records: Vec<(u64, Record)>,
        next_offset: u64,
    ) {
        if self.silent_since.is_none() {
            self.round_trip = now.since(sent);
        }
        self.silent_since.get_or_insert(sent);
        self.last_read_at = now;
        self.last_read_sent = self.last_read_sent.max(sent);
        for (offset, record) in records {
            if offset >= self.next_offset {
                self.apply_record(now, offset, record);
            }
        }
        self.next_offset = self.next_offset.max(next_offset);
    }

    fn apply_record(&mut self, now: Instant, offset: u64, record: Record) {
        let token = Token(offset + 1);
        match record {
            Record::Present(owner) => {
                self.note_peer(now, &owner);
                self.release_if_restarted(now, &owner);
            }
            Record::Claim(owner) => {
                self.note_peer(now, &owner);
                self.count_unsettled();
                self.claim_read_at = now;
                let former = self.claim.take().filter(|claim| claim.token < token);
                let has_skipped = std::mem::take(&mut self.has_skipped);
                self.former_claim = former.filter(|_| !has_skipped);
                self.claim = Some(Claim {
                    owner,
                    token,
                    is_released: false,
                });
                self.claim_sent_at = None;
                self.unconfirmed_release = None;
                self.unreachable_claim = None;
                self.silent_since = Some(now);
            }
            Record::Renewal(claim) => {
                let known = self.claim.as_ref().map(|known| known.token);
                if known <= Some(claim.token) {
                    self.silent_since = Some(now);
                    self.renewals += 1;
                }
                if known < Some(claim.token) {
                    self.claim = Some(claim);
                    self.claim_read_at = now;
                    self.renewals = 1;
                }
            }
            Record::Release(token) => {
                self.note_released(token);
                let claim = self.claim.as_mut().filter(|claim| claim.token == token);
                if let Some(claim) = claim.filter(|claim| !claim.is_released) {
                    claim.is_released = true;
                    self.released_at = Some(now);
                }
            }
        }
    }

    /// Takes the claim in force for released when its owner has restarted: the process that made the
    /// claim is gone, although the entry accepts links again.
    fn release_if_restarted(&mut self, now: Instant, present: &Owner) {
        let claim = self.claim.as_mut().filter(|claim| {
            claim.owner.name == present.name && claim.owner.incarnation < present.incarnation
        });
        if let Some(claim) = claim.filter(|claim| !claim.is_released) {
            claim.is_released = true;
            self.released_at = Some(now);
        }
    }

    /// Counts the claim in force, which another claim follows, if its owner has not settled.
    fn count_unsettled(&mut self) {
        let is_released = self.claim.as_ref().is_none_or(|claim| claim.is_released);
        if self.renewals >= SETTLED_RENEWALS {
            self.unsettled_claims = 0;
        } else if !is_released {
            self.unsettled_claims += 1;
        }
        self.renewals = 0;
    }

    /// Returns how long the claim of another entry may go without a renewal.
    ///
    /// An owner that reads many jobs over a small link can neither renew its claim in time nor answer
    /// other entries. If claims were replaced while their owners took the cell over, no takeover might
    /// ever complete, so each of them doubles the silence that the next owner is allowed.
    fn max_silence(&self, token: Token) -> Duration {
        if self.unsettled_claims > 0 && self.renewals < SETTLED_RENEWALS {
            return self.rules.silence * (1 << self.unsettled_claims.min(MAX_DOUBLINGS));
        }
        if self.unreachable_claim == Some(token) {
            self.rules.unreachable_silence
        } else {
            self.rules.silence
        }
    }

    fn note_peer(&mut self, now: Instant, owner: &Owner) {
        if owner.name == self.this_entry.name {
            return;
        }
        let peer = Peer {
            address: owner.address,
            processors_millis: owner.processors_millis,
            last_seen: now,
        };
        self.peers.insert(owner.name.clone(), peer);
    }

    /// Returns the share of processors of another entry, in thousandths of a core; 0 for an unknown
    /// entry.
    fn processors_millis(&self, name: &str) -> u32 {
        self.peers
            .get(name)
            .map_or(0, |peer| peer.processors_millis)
    }

    /// Returns the addresses at which the other entries accept links.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|peer| peer.address)
    }

    /// Whether the log shows that another entry is alive and owns the cell.
    pub fn is_owned_elsewhere(&self, now: Instant) -> bool {
        let is_claimed = self
            .claim
            .as_ref()
            .is_some_and(|claim| claim.owner != self.this_entry && !claim.is_released);
        let is_renewed = self
            .silent_since
            .is_some_and(|since| now.since(since) < self.rules.unreachable_silence);
        is_claimed && is_renewed
    }

    /// Whether another entry is alive and owns the cell, and this entry, which has had no link to an
    /// owner since `unlinked_since`, has had the time to connect to it.
    pub fn is_cut_off(&self, now: Instant, unlinked_since: Instant) -> bool {
        now.since(unlinked_since) >= LINK_GRACE
            && now.since(self.claim_read_at) >= TAKEOVER_GRACE
            && self.is_owned_elsewhere(now)
    }

    /// Returns how long the next read waits for a new record. `is_linked` says whether this entry owns the
    /// cell or has a link to its owner.
    pub fn read_wait(&self, is_linked: bool) -> Duration {
        // The first read only finds the end of the log and must not wait for new records.
        match &self.claim {
            None => Duration::ZERO,
            Some(_) if is_linked => LINKED_READ_WAIT,
            Some(_) => UNLINKED_READ_WAIT,
        }
    }

    /// Records whether this entry can connect to the owner of a claim.
    pub fn note_reachable(&mut self, token: Token, is_reachable: bool) {
        self.unreachable_claim = (!is_reachable).then_some(token);
    }

    /// Returns how many entries claim before this one. Larger entries claim first; entries of one size
    /// claim in an order that changes with each claim. Claims sent all at once would slow down a slow
    /// log further, and all but one would fail.
    pub fn claim_rank(&self) -> u32 {
        let owner = self.claim.as_ref().map(|claim| claim.owner.name.as_str());
        let own_key = self.claiming_key(&self.this_entry.name, self.this_entry.processors_millis);
        let earlier = self.peers.iter().filter(|(name, peer)| {
            Some(name.as_str()) != owner
                && self.last_read_at.since(peer.last_seen) < PEER_TIMEOUT
                && self.claiming_key(name, peer.processors_millis) < own_key
        });
        earlier.count() as u32
    }

    /// Returns the place of another entry in the order in which entries claim the cell.
    pub fn claiming_order(&self, name: &str) -> impl Ord + use<> {
        self.claiming_key(name, self.processors_millis(name))
    }

    fn claiming_key(&self, name: &str, processors_millis: u32) -> (Reverse<u32>, u64) {
        let token = self.claim.as_ref().map(|claim| claim.token);
        let mut hasher = DefaultHasher::new();
        (name, token).hash(&mut hasher);
        (Reverse(processors_millis), hasher.finish())
    }

    /// Whether a successful read was sent at `since` or later, so that every claim that was in the log
    /// at `since` is known.
    pub fn has_read_since(&self, since: Instant) -> bool {
        self.last_read_sent >= since
    }

    /// Whether a successful read was answered within `span` before `now`.
    pub fn has_read_within(&self, now: Instant, span: Duration) -> bool {
        now.since(self.last_read_at) < span
    }

    /// Returns the time since which all reads have succeeded and none has shown a claim or a renewal
    /// of the current claim; `None` after a failed read.
    pub fn silent_since(&self) -> Option<Instant> {
        self.silent_since
    }

    /// Records the duration of a read, without the time that it waited for new records.
    pub fn note_round_trip(&mut self, span: Duration) {
        self.round_trip = span;
    }

    /// Whether a larger entry (see [`SIZE_RATIO`]) has written a record since `since`.
    fn has_larger_peer(&self, since: Instant) -> bool {
        let min_processors = self.this_entry.processors_millis.saturating_mul(SIZE_RATIO);
        let peers = self.peers.values();
        peers
            .filter(|peer| peer.last_seen >= since)
            .any(|peer| peer.processors_millis >= min_processors)
    }

    /// Whether this entry owns the cell and should hand it over to a larger entry that is running.
    pub fn should_hand_over(&self, now: Instant) -> bool {
        self.token().is_some()
            && now.since(self.claim_read_at) >= MIN_TENURE
            && self.has_larger_peer(self.claim_read_at)
    }

    /// Adopts a claim that another entry reported, if it is newer than the one known here.
    pub fn merge_claim(&mut self, claim: Claim) {
        let known = self
            .claim
            .as_ref()
            .map(|known| (known.token, known.is_released));
        if known < Some((claim.token, claim.is_released)) {
            self.claim = Some(claim);
        }
    }

    /// Records that a read failed: a silent owner cannot be distinguished from an outage of the log.
    pub fn read_failed(&mut self) {
        self.silent_since = None;
    }

    /// Records that a record could not be read: it may have been a claim.
    pub fn note_skipped(&mut self) {
        self.has_skipped = true;
    }

    /// Skips to offset `first`, because the log no longer has the records before it.
    pub fn skip_to(&mut self, first: u64) {
        self.has_skipped |= first > self.next_offset;
        self.next_offset = self.next_offset.max(first);
    }

    /// Records that a claim was not appended, because the log no longer ended at the expected offset.
    pub fn claim_conflicted(&mut self) {
        self.claim_sent_at = None;
    }

    /// Returns the action that is due at `now`, and records it as done.
    pub fn action(&mut self, now: Instant) -> Option<Action> {
        let is_due = self
            .last_notice_at
            .is_none_or(|at| now.since(at) >= self.rules.renewal);
        if self.token().is_some() {
            if is_due && self.is_candidate {
                self.last_notice_at = Some(now);
                return self.claim.clone().map(Action::Renew);
            }
            return None;
        }
        if let Some(token) = self.unconfirmed_release.filter(|_| is_due) {
            self.last_notice_at = Some(now);
            return Some(Action::Release(token));
        }
        let is_in_flight = self
            .claim_sent_at
            .is_some_and(|at| now.since(at) < CLAIM_TIMEOUT);
        if !self.is_candidate || is_in_flight {
            return None;
        }
        let mut silence = self.last_read_at.since(self.silent_since?);
        let wait = match &self.claim {
            Some(claim) if claim.is_released => {
                // The release is conclusive: no further read is needed.
                silence = now.since(self.released_at?);
                self.round_trip * RELEASED_ROUND_TRIPS
            }
            Some(claim) if claim.owner.name != self.this_entry.name => {
                self.max_silence(claim.token) + self.round_trip
            }
            // No other entry owns the cell.
            _ => self.round_trip * UNOWNED_ROUND_TRIPS,
        };
        let wait = wait + self.round_trip * (RANK_ROUND_TRIPS * self.claim_rank());
        let extra_delay = if now < self.yields_until {
            YIELD_DELAY
        } else if self.has_larger_peer(Instant(0)) {
            SMALLER_ENTRY_DELAY
        } else {
            Duration::ZERO
        };
        if silence < wait + extra_delay {
            return None;
        }
        self.claim_sent_at = Some(now);
        Some(Action::Claim {
            at: self.next_offset,
        })
    }
}
