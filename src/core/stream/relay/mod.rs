//! One reader per region across the narrow link.
//!
//! Each node of a region ranks the region's live nodes for each stream by rendezvous hashing. The
//! first one reads the log; the others subscribe to it and get what it reads, with a heartbeat that
//! says how old its last answer from the log is. A follower whose relay is silent or too far behind
//! suspects it for a while and turns to the next in rank; after [`SOURCES`] of them it reads the log
//! itself. Nobody has to agree: two relays at a time cost bytes, not correctness, since entries
//! carry offsets and every reader checks that they follow one another.
//!
//! A [`Relay`] stands between a [`Reader`](super::Reader) and the log: the reader's fetches go in,
//! pages come out. Every node forwards what it reads to whoever subscribed to it, so a follower
//! that was handed on to a follower is served, too.

mod audience;
mod backlog;
mod message;
mod rules;

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;
use xxhash_rust::xxh3::xxh3_64;

use self::audience::Audience;
pub use self::audience::HEARTBEAT;
use self::backlog::Backlog;
pub use self::message::{Input, Message, Output};
#[doc(hidden)]
pub use self::rules::Rules;
use super::batch::Name;
use super::rendezvous::weight;
use crate::core::id::Node;
use crate::core::time::Instant;
use crate::platform::log::Page;

/// How long a relay may be silent.
pub const SILENCE: Duration = Duration::from_millis(1_500);

/// How old a relay's last answer from the log may be; above [`LOG_WAIT`].
pub const LAG: Duration = Duration::from_secs(3);

/// How long the log may hold a fetch until an entry comes.
pub const LOG_WAIT: Duration = Duration::from_secs(1);

/// How long a suspected relay isn't asked again.
const SUSPICION: Duration = Duration::from_secs(15);

/// How many relays may be suspected at once before the log is read directly.
pub const SOURCES: usize = 2;

/// How long a fetch may stay unanswered; above [`LOG_WAIT`].
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a follower renews its subscription.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// Where entries come from.
#[state]
enum Source {
    /// The log.
    Log,
    /// Another node.
    Node {
        node: Node,
        heard_at: Instant,
        subscribed_at: Option<Instant>,
    },
}

/// Gets the pages of one stream for one node, and hands them on.
#[state]
pub struct Relay {
    node: Node,
    /// Makes each stream rank the nodes in its own way.
    seed: u64,
    rules: Rules,
    members: Vec<Node>,
    suspects: BTreeMap<Node, Instant>,
    source: Source,
    wanted: u64,
    fetching_since: Option<Instant>,
    wants_page: bool,
    fresh_at: Instant,
    backlog: Backlog,
    audience: Audience,
}

impl Relay {
    /// Makes the relay of `node` for `stream`; until it is told the members it reads the log.
    pub fn new(node: Node, stream: &Name) -> Relay {
        Relay {
            node,
            seed: xxh3_64(stream.0.as_bytes()),
            rules: Rules::default(),
            members: vec![node],
            suspects: BTreeMap::new(),
            source: Source::Log,
            wanted: 0,
            fetching_since: None,
            wants_page: false,
            fresh_at: Instant(0),
            backlog: Backlog::default(),
            audience: Audience::default(),
        }
    }

    /// Replaces the rules.
    #[doc(hidden)]
    pub fn with_rules(mut self, rules: Rules) -> Relay {
        self.rules = rules;
        self
    }

    /// Returns whether this node reads the log itself.
    pub fn is_direct(&self) -> bool {
        self.source == Source::Log
    }

    /// Returns how many nodes this one hands entries on to.
    pub fn followers(&self) -> usize {
        self.audience.len()
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        let source = match &self.source {
            Source::Log => self.suspects.values().min().copied(),
            Source::Node {
                heard_at,
                subscribed_at,
                ..
            } => {
                let subscribe = subscribed_at.map_or(Instant(0), |at| at + SUBSCRIBE_INTERVAL);
                Some(subscribe.min(*heard_at + SILENCE))
            }
        };
        let others = [self.fetch_expires_at(), self.audience.wake_at()];
        source.into_iter().chain(others.into_iter().flatten()).min()
    }

    fn fetch_expires_at(&self) -> Option<Instant> {
        self.fetching_since.map(|since| since + FETCH_TIMEOUT)
    }

    /// Takes `input`, and fetches, subscribes and hands on what is due.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Members(members) => self.members = members,
            Input::Fetch { from } => {
                self.wanted = from;
                self.wants_page = true;
            }
            Input::Page(page) => {
                self.fetching_since = None;
                self.fresh_at = now;
                self.deliver(page, out);
            }
            Input::Failed => self.failed(out),
            Input::Received { from, message } => self.receive(now, from, message, out),
            Input::Tick => {}
        }
        if self.fetch_expires_at().is_some_and(|at| now >= at) {
            self.failed(out);
        }
        self.watch(now);
        self.choose(now);
        self.ask(now, out);
        self.hand_on(now, out);
    }

    fn receive(&mut self, now: Instant, from: Node, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Subscribe { next } => self.audience.subscribe(now, from, next),
            Message::Entries { page, age_ms } => {
                if !self.hears(now, from) {
                    return;
                }
                let fresh_at = now - Duration::from_millis(age_ms);
                self.fresh_at = self.fresh_at.max(fresh_at);
                if page.next <= self.wanted {
                    return;
                }
                let start = page.entries.first().map_or(page.next, |entry| entry.offset);
                if start <= self.wanted {
                    self.deliver(page, out);
                } else if self.rules.catch_up {
                    // The source doesn't keep what is wanted any more.
                    self.fetch(now, out);
                }
            }
        }
    }

    /// Takes note of a sign of life; returns whether it came from the source.
    fn hears(&mut self, now: Instant, from: Node) -> bool {
        match &mut self.source {
            Source::Node { node, heard_at, .. } if *node == from => {
                *heard_at = now;
                true
            }
            _ => false,
        }
    }

    /// Gives a page to the reader and keeps it for the followers.
    fn deliver(&mut self, page: Page, out: &mut Vec<Output>) {
        self.backlog.extend(&page);
        let end = page.entries.last().map_or(0, |entry| entry.offset + 1);
        self.wanted = self.wanted.max(end);
        self.wants_page = false;
        out.push(Output::Page(page));
    }

    fn failed(&mut self, out: &mut Vec<Output>) {
        self.fetching_since = None;
        self.wants_page = false;
        out.push(Output::Failed);
    }

    /// Suspects the source when it is silent or behind.
    fn watch(&mut self, now: Instant) {
        self.suspects.retain(|_, until| now < *until);
        let Source::Node { node, heard_at, .. } = self.source else {
            return;
        };
        let is_silent = now >= heard_at + SILENCE;
        let is_behind = now >= self.fresh_at + LAG;
        if self.rules.takeover && (is_silent || is_behind) {
            self.suspects.insert(node, now + SUSPICION);
        }
    }

    /// Turns to the first node in rank that isn't suspected.
    fn choose(&mut self, now: Instant) {
        let best = self.best();
        let current = match self.source {
            Source::Log => self.node,
            Source::Node { node, .. } => node,
        };
        if best == current {
            return;
        }
        // A new source gets its whole time to prove itself.
        self.fresh_at = now;
        self.source = if best == self.node {
            Source::Log
        } else {
            Source::Node {
                node: best,
                heard_at: now,
                subscribed_at: None,
            }
        };
    }

    /// Returns the node to get entries from: this one when it reads the log itself.
    fn best(&self) -> Node {
        if self.suspects.len() >= SOURCES {
            return self.node;
        }
        let trusted = |node: &&Node| **node == self.node || !self.suspects.contains_key(node);
        let members = self.members.iter().filter(trusted);
        let best = members.max_by_key(|node| (weight(**node, self.seed), **node));
        best.copied().unwrap_or(self.node)
    }

    /// Asks the source for what the reader wants.
    fn ask(&mut self, now: Instant, out: &mut Vec<Output>) {
        let next = self.wanted;
        match &mut self.source {
            Source::Log => {
                if self.wants_page {
                    self.fetch(now, out);
                }
            }
            Source::Node {
                node,
                subscribed_at,
                ..
            } => {
                if subscribed_at.is_some_and(|at| now < at + SUBSCRIBE_INTERVAL) {
                    return;
                }
                *subscribed_at = Some(now);
                let message = Message::Subscribe { next };
                out.push(Output::Send { to: *node, message });
            }
        }
    }

    /// Asks the log, unless it was asked already.
    fn fetch(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.fetching_since.is_some() {
            return;
        }
        self.fetching_since = Some(now);
        out.push(Output::Fetch { from: self.wanted });
    }

    /// Sends the followers what is due to them.
    fn hand_on(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.audience.expire(now);
        let age_ms = now.since(self.fresh_at).as_millis() as u64;
        for (to, page) in self.audience.due(now, &self.backlog, self.wanted) {
            let message = Message::Entries { page, age_ms };
            out.push(Output::Send { to, message });
        }
    }
}
