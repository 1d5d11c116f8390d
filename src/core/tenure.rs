//! Who owns a cell, by claims on a log with conditional appends.
//!
//! A claim is appended on condition that the log ends where the claimant has read to. The last claim
//! in the log names the owner, and its offset gives the fencing token, which therefore grows over
//! every owner, restart and loss of all entries. The owner renews its claim; others claim when reads
//! that succeed show no renewal for a while. No rule depends on clocks: workers and the log refuse
//! what carries a lower token, so an owner that was paused can do nothing.
//!
//! Reads that fail count for nothing: while the log is away for all, nobody claims and the owner
//! goes on.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use laburnum_derive::{message, state};

use super::scheduler::id::Token;
use super::time::Instant;

/// What stands in the log.
#[message]
pub enum Record {
    /// The writer is the owner from here on.
    Claim(Owner),
    /// The owner lives. It names itself, for readers who come when the log has dropped its claim.
    Renewal(Claim),
    /// The owner of this token stops.
    Release(Token),
    /// The writer is there and takes links; it may be asked who owns the cell.
    Present(Owner),
}

/// An owner.
#[message]
pub struct Owner {
    /// The entry's name.
    pub name: String,
    /// Where it takes links.
    pub address: SocketAddr,
    /// Tells the lives of an entry apart.
    pub life: u64,
    /// The share of processors that its VM has, in thousandths of a core.
    pub processors_millis: u32,
}

/// The claim in force.
#[message]
pub struct Claim {
    /// Who.
    pub owner: Owner,
    /// Its token.
    pub token: Token,
    /// Whether the owner has said that it stops.
    pub is_released: bool,
}

/// What an entry should do now.
#[state]
pub enum Action {
    /// Append a claim on condition that the log ends at this offset.
    Claim {
        /// The offset.
        at: u64,
    },
    /// Append a renewal of this claim.
    Renew(Claim),
    /// Append a release.
    Release(Token),
}

/// How long the owner may be silent, and how often it renews.
#[message]
#[derive(Copy)]
pub struct Rules {
    /// From one renewal to the next.
    pub renewal: Duration,
    /// Claims are made after so long without a sign of the owner.
    pub silence: Duration,
    /// The same for an entry that can't reach the owner either.
    pub unreachable_silence: Duration,
}

/// Decides for one entry.
#[state]
pub struct Elector {
    rules: Rules,
    me: Owner,
    claim: Option<Claim>,
    /// The offset to read from next.
    next: u64,
    /// Since when reads that succeeded have shown no sign of the owner.
    quiet_since: Option<Instant>,
    /// When the last read that succeeded was answered.
    confirmed: Instant,
    /// How long the last read that found nothing to wait for took; the nearest entry claims first.
    round_trip: Duration,
    renewed: Option<Instant>,
    claimed: Option<Instant>,
    /// The claim of this entry that it has given up and not read to be released yet.
    resigned: Option<Token>,
    /// Whether this entry may become the owner.
    is_candidate: bool,
    /// Until when others are given precedence.
    yields_until: Instant,
    /// When it was read that the owner stops.
    released: Option<Instant>,
    /// The claim whose owner this entry can't reach.
    unreachable: Option<Token>,
    /// When the claim in force was read.
    owned_since: Instant,
    /// The other entries, by name, as they last said.
    peers: BTreeMap<String, Peer>,
}

/// Another entry.
#[state]
struct Peer {
    address: SocketAddr,
    processors_millis: u32,
    /// When a word of it was read last.
    heard: Instant,
}

/// A claim without an owner to wait for is delayed by this many round trips to the log, so that the
/// entry nearest to the log wins.
const DELAY_ROUND_TRIPS: u32 = 8;
/// The same after a release, when all entries are known to read the log.
const RELEASED_ROUND_TRIPS: u32 = 2;
/// An entry that has not been heard of for so long is not waited for: two announcements.
const PEER_LIFE: Duration = Duration::from_secs(17);
/// An entry leaves the cell to one that has this many times its processors: placing for all workers
/// takes a good part of a VM, and a cell moves only for a clear gain.
const LARGER: u32 = 2;
/// An entry claims so many round trips after the one before it: a read and an append that waits for
/// another one, so that the claim before can be seen.
const POSITION_ROUND_TRIPS: u32 = 4;
/// How much later an entry claims while it knows of a larger one; three times what the larger one
/// needs to claim first.
const SMALL_DELAY: Duration = Duration::from_millis(1_000);
/// An ownership is not handed to a larger entry before, so that entries that come and go don't move
/// the cell all the time.
const LEAST_TENURE: Duration = Duration::from_secs(3);
/// How much later an entry claims that gives others precedence.
const YIELD_DELAY: Duration = Duration::from_millis(1_500);
/// How long an unanswered claim counts as under way.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

impl Elector {
    /// Makes the elector of an entry.
    pub fn new(rules: Rules, me: Owner) -> Elector {
        Elector {
            rules,
            me,
            claim: None,
            next: 0,
            quiet_since: None,
            confirmed: Instant(0),
            round_trip: Duration::ZERO,
            renewed: None,
            claimed: None,
            resigned: None,
            is_candidate: true,
            yields_until: Instant(0),
            released: None,
            unreachable: None,
            owned_since: Instant(0),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the offset to read from.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the claim in force, as far as was read.
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref()
    }

    /// Returns this entry's token while its claim is in force.
    pub fn token(&self) -> Option<Token> {
        let claim = self.claim.as_ref()?;
        (claim.owner == self.me && !claim.is_released).then_some(claim.token)
    }

    /// Whether this entry may become the owner.
    pub fn is_candidate(&self) -> bool {
        self.is_candidate
    }

    /// Lets this entry claim no more.
    pub fn retire(&mut self) {
        self.is_candidate = false;
    }

    /// Gives up the claim that `token` names, if it is this entry's: it is released, as often as
    /// it takes until the log shows so, and renewed no more.
    pub fn resign(&mut self, now: Instant, token: Token) {
        let me = &self.me;
        let claim = self
            .claim
            .as_mut()
            .filter(|claim| claim.token == token && claim.owner == *me);
        if let Some(claim) = claim.filter(|claim| !claim.is_released) {
            claim.is_released = true;
            self.released = Some(now);
            self.resigned = Some(token);
            self.renewed = Some(now);
        }
    }

    /// Takes in that the log has this entry's release of a claim.
    pub fn note_released(&mut self, token: Token) {
        if self.resigned == Some(token) {
            self.resigned = None;
        }
    }

    /// Gives other entries precedence until `end`: this one is slow.
    pub fn yield_until(&mut self, end: Instant) {
        self.yields_until = end;
    }

    /// Takes in a read that was sent at `sent` and gave `records` and the offset after them. Records
    /// that were taken in before count for nothing.
    pub fn read(&mut self, now: Instant, sent: Instant, records: Vec<(u64, Record)>, next: u64) {
        if self.quiet_since.is_none() {
            self.round_trip = now.since(sent);
        }
        self.quiet_since.get_or_insert(sent);
        self.confirmed = now;
        for (offset, record) in records {
            if offset >= self.next {
                self.take(now, offset, record);
            }
        }
        self.next = self.next.max(next);
    }

    fn take(&mut self, now: Instant, offset: u64, record: Record) {
        let token = Token(offset + 1);
        match record {
            Record::Present(owner) => self.note_peer(now, &owner),
            Record::Claim(owner) => {
                self.note_peer(now, &owner);
                self.owned_since = now;
                self.claim = Some(Claim {
                    owner,
                    token,
                    is_released: false,
                });
                self.claimed = None;
                self.resigned = None;
                self.unreachable = None;
                self.quiet_since = Some(now);
            }
            Record::Renewal(claim) => {
                let known = self.claim.as_ref().map(|known| known.token);
                if known <= Some(claim.token) {
                    self.quiet_since = Some(now);
                }
                if known < Some(claim.token) {
                    self.claim = Some(claim);
                }
            }
            Record::Release(token) => {
                self.note_released(token);
                let claim = self.claim.as_mut().filter(|claim| claim.token == token);
                if let Some(claim) = claim.filter(|claim| !claim.is_released) {
                    claim.is_released = true;
                    self.released = Some(now);
                }
            }
        }
    }

    fn note_peer(&mut self, now: Instant, owner: &Owner) {
        if owner.name == self.me.name {
            return;
        }
        let peer = Peer {
            address: owner.address,
            processors_millis: owner.processors_millis,
            heard: now,
        };
        self.peers.insert(owner.name.clone(), peer);
    }

    /// Returns the processors of another entry, in thousandths of a core; 0 for an unknown one.
    pub fn processors_millis(&self, name: &str) -> u32 {
        self.peers
            .get(name)
            .map_or(0, |peer| peer.processors_millis)
    }

    /// Returns where the other entries take links.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|peer| peer.address)
    }

    /// Whether the log shows that another entry lives and owns the cell.
    pub fn is_owned_elsewhere(&self, now: Instant) -> bool {
        let is_claimed = self
            .claim
            .as_ref()
            .is_some_and(|claim| claim.owner != self.me && !claim.is_released);
        let is_renewed = self
            .quiet_since
            .is_some_and(|since| now.since(since) < self.rules.unreachable_silence);
        is_claimed && is_renewed
    }

    /// Takes in whether this entry can reach the owner of a claim.
    pub fn note_reachable(&mut self, token: Token, is_reachable: bool) {
        self.unreachable = (!is_reachable).then_some(token);
    }

    /// Returns how many entries claim before this one: the larger first, those of one size in an order
    /// that changes with each claim. All at once would make a slow log slower, and fail but for one.
    fn position(&self) -> u32 {
        let token = self.claim.as_ref().map(|claim| claim.token);
        let owner = self.claim.as_ref().map(|claim| claim.owner.name.as_str());
        let place = |name: &str, processors_millis: u32| {
            let mut hasher = DefaultHasher::new();
            (name, token).hash(&mut hasher);
            (Reverse(processors_millis), hasher.finish())
        };
        let mine = place(&self.me.name, self.me.processors_millis);
        let others = self.peers.iter().filter(|(name, peer)| {
            Some(name.as_str()) != owner
                && self.confirmed.since(peer.heard) < PEER_LIFE
                && place(name, peer.processors_millis) < mine
        });
        others.count() as u32
    }

    /// Whether a read was answered within `span` before `now`.
    pub fn has_read_within(&self, now: Instant, span: Duration) -> bool {
        now.since(self.confirmed) < span
    }

    /// Returns when the last sign of the owner was read.
    pub fn renewed_at(&self) -> Option<Instant> {
        self.quiet_since
    }

    /// Takes in how long a read took beyond its own wait.
    pub fn note_round_trip(&mut self, span: Duration) {
        self.round_trip = span;
    }

    /// Whether an entry with more processors has been heard of since `since`.
    fn is_outclassed(&self, since: Instant) -> bool {
        let least = self.me.processors_millis.saturating_mul(LARGER);
        let peers = self.peers.values();
        peers
            .filter(|peer| peer.heard >= since)
            .any(|peer| peer.processors_millis >= least)
    }

    /// Whether this entry owns the cell and should leave it to a larger one that is there.
    pub fn should_hand_over(&self, now: Instant) -> bool {
        self.token().is_some()
            && now.since(self.owned_since) >= LEAST_TENURE
            && self.is_outclassed(self.owned_since)
    }

    /// Takes in what another entry has read; an older claim says nothing new.
    pub fn learn(&mut self, claim: Claim) {
        let known = self
            .claim
            .as_ref()
            .map(|known| (known.token, known.is_released));
        if known < Some((claim.token, claim.is_released)) {
            self.claim = Some(claim);
        }
    }

    /// Takes in that a read failed: silence cannot be told from an outage.
    pub fn read_failed(&mut self) {
        self.quiet_since = None;
    }

    /// Takes in that records before `first` are gone.
    pub fn truncated(&mut self, first: u64) {
        self.next = self.next.max(first);
    }

    /// Takes in that a claim was not taken: the log had moved on.
    pub fn claim_refused(&mut self) {
        self.claimed = None;
    }

    /// Returns what is due at `now`, and notes it as done.
    pub fn action(&mut self, now: Instant) -> Option<Action> {
        let is_due = self
            .renewed
            .is_none_or(|at| now.since(at) >= self.rules.renewal);
        if self.token().is_some() {
            if is_due && self.is_candidate {
                self.renewed = Some(now);
                return self.claim.clone().map(Action::Renew);
            }
            return None;
        }
        if let Some(token) = self.resigned.filter(|_| is_due) {
            self.renewed = Some(now);
            return Some(Action::Release(token));
        }
        let is_under_way = self.claimed.is_some_and(|at| now.since(at) < CLAIM_TIMEOUT);
        if !self.is_candidate || is_under_way {
            return None;
        }
        let mut quiet = self.confirmed.since(self.quiet_since?);
        let wait = match &self.claim {
            Some(claim) if claim.is_released => {
                // Its last word was that it stops: no further read is needed.
                quiet = now.since(self.released?);
                self.round_trip * RELEASED_ROUND_TRIPS
            }
            Some(claim) if claim.owner.name != self.me.name => {
                let silence = if self.unreachable == Some(claim.token) {
                    self.rules.unreachable_silence
                } else {
                    self.rules.silence
                };
                silence + self.round_trip
            }
            // Nobody else owns the cell.
            _ => self.round_trip * DELAY_ROUND_TRIPS,
        };
        let wait = wait + self.round_trip * (POSITION_ROUND_TRIPS * self.position());
        let yielding = if now < self.yields_until {
            YIELD_DELAY
        } else if self.is_outclassed(Instant(0)) {
            SMALL_DELAY
        } else {
            Duration::ZERO
        };
        if quiet < wait + yielding {
            return None;
        }
        self.claimed = Some(now);
        Some(Action::Claim { at: self.next })
    }
}
