//! One reader per region, because the link between a region and the log is narrow.
//!
//! Each node of a region ranks the region's live nodes for each stream by rendezvous hashing. The
//! first node reads the log; the others subscribe to it and receive the entries that it reads, with
//! heartbeats that state the age of its last response from the log. A follower whose source is
//! silent or too far behind suspects it for a while and switches to the next node in rank; while it
//! suspects [`MAX_SUSPECTS`] nodes it reads the log itself. The nodes need no agreement: two relays
//! at the same time cost bandwidth, not correctness, since entries have offsets and every reader
//! checks that they are consecutive.
//!
//! A [`Relay`] is placed between a [`Reader`](super::Reader) and the log: its inputs are the
//! reader's fetches, its outputs are pages. Every node forwards the entries that it reads to all
//! its subscribers, so a node that subscribes to a follower instead of the relay gets them as well.

mod backlog;
mod followers;
mod message;
mod rules;

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;
use xxhash_rust::xxh3::xxh3_64;

use self::backlog::Backlog;
use self::followers::Followers;
pub use self::followers::HEARTBEAT_INTERVAL;
pub use self::message::{Input, Message, Output};
#[doc(hidden)]
pub use self::rules::Rules;
use super::batch::Name;
use super::rendezvous::weight;
use crate::core::id::Node;
use crate::core::time::Instant;
use crate::platform::log::Page;

/// A source that sends no message for this long is suspected.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A source whose last response from the log is older than this is suspected; above [`LOG_WAIT`].
pub const MAX_LAG: Duration = Duration::from_secs(3);

/// How long the log may hold a fetch until an entry is appended.
pub const LOG_WAIT: Duration = Duration::from_secs(1);

/// How long a suspected node isn't used as source.
const SUSPICION_TIME: Duration = Duration::from_secs(15);

/// The number of suspected nodes at which the log is read directly.
pub const MAX_SUSPECTS: usize = 2;

/// How long to wait for the response to a fetch; above [`LOG_WAIT`].
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a follower renews its subscription.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// The source of a stream's entries.
#[state]
enum Source {
    /// The log.
    Log,
    /// Another node of the region.
    Node {
        node: Node,
        last_message_at: Instant,
        subscribed_at: Option<Instant>,
    },
}

/// Obtains the pages of one stream for one node and forwards them to its followers.
#[state]
pub struct Relay {
    node: Node,
    /// Derived from the stream's name, so that each stream ranks the nodes differently.
    seed: u64,
    rules: Rules,
    members: Vec<Node>,
    suspects: BTreeMap<Node, Instant>,
    source: Source,
    /// The next offset that this node's reader needs.
    next_offset: u64,
    fetching_since: Option<Instant>,
    page_requested: bool,
    /// When the log last responded, to this node or to its source.
    last_response_at: Instant,
    backlog: Backlog,
    followers: Followers,
}

impl Relay {
    /// Creates the relay of `node` for `stream`; it reads the log until [`Input::Members`] comes.
    pub fn new(node: Node, stream: &Name) -> Relay {
        Relay {
            node,
            seed: xxh3_64(stream.0.as_bytes()),
            rules: Rules::default(),
            members: vec![node],
            suspects: BTreeMap::new(),
            source: Source::Log,
            next_offset: 0,
            fetching_since: None,
            page_requested: false,
            last_response_at: Instant(0),
            backlog: Backlog::default(),
            followers: Followers::default(),
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

    /// Returns the number of nodes that this one forwards entries to.
    pub fn followers(&self) -> usize {
        self.followers.len()
    }

    /// Returns when [`Input::Tick`] is next needed.
    pub fn wake_at(&self) -> Option<Instant> {
        let source = match &self.source {
            Source::Log => self.suspects.values().min().copied(),
            Source::Node {
                last_message_at,
                subscribed_at,
                ..
            } => {
                let subscribe = subscribed_at.map_or(Instant(0), |at| at + SUBSCRIBE_INTERVAL);
                Some(subscribe.min(*last_message_at + SILENCE_TIMEOUT))
            }
        };
        let others = [self.fetch_expires_at(), self.followers.wake_at()];
        source.into_iter().chain(others.into_iter().flatten()).min()
    }

    fn fetch_expires_at(&self) -> Option<Instant> {
        self.fetching_since.map(|since| since + FETCH_TIMEOUT)
    }

    /// Handles `input`, and emits the fetches, subscriptions and messages to followers that are
    /// due.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Members(members) => self.members = members,
            Input::Fetch { from } => {
                self.next_offset = from;
                self.page_requested = true;
            }
            Input::Page(page) => {
                self.fetching_since = None;
                self.last_response_at = now;
                self.deliver(page, out);
            }
            Input::Failed => self.fail_fetch(out),
            Input::Received { from, message } => self.receive(now, from, message, out),
            Input::Tick => {}
        }
        if self.fetch_expires_at().is_some_and(|at| now >= at) {
            self.fail_fetch(out);
        }
        self.update_suspects(now);
        self.select_source(now);
        self.request_entries(now, out);
        self.send_to_followers(now, out);
    }

    fn receive(&mut self, now: Instant, from: Node, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::Subscribe { next } => self.followers.subscribe(now, from, next),
            Message::Entries { page, age_ms } => {
                if !self.record_message(now, from) {
                    return;
                }
                let last_response_at = now - Duration::from_millis(age_ms);
                self.last_response_at = self.last_response_at.max(last_response_at);
                if page.next <= self.next_offset {
                    return;
                }
                let start = page.entries.first().map_or(page.next, |entry| entry.offset);
                if start <= self.next_offset {
                    self.deliver(page, out);
                } else if self.rules.catch_up {
                    // The source no longer keeps the entry at `next_offset`.
                    self.fetch(now, out);
                }
            }
        }
    }

    /// Records a message from the source; returns `false` if `from` isn't the source.
    fn record_message(&mut self, now: Instant, from: Node) -> bool {
        match &mut self.source {
            Source::Node {
                node,
                last_message_at,
                ..
            } if *node == from => {
                *last_message_at = now;
                true
            }
            _ => false,
        }
    }

    /// Passes a page to the reader and keeps its entries for the followers.
    fn deliver(&mut self, page: Page, out: &mut Vec<Output>) {
        self.backlog.extend(&page);
        let end = page.entries.last().map_or(0, |entry| entry.offset + 1);
        self.next_offset = self.next_offset.max(end);
        self.page_requested = false;
        out.push(Output::Page(page));
    }

    fn fail_fetch(&mut self, out: &mut Vec<Output>) {
        self.fetching_since = None;
        self.page_requested = false;
        out.push(Output::Failed);
    }

    /// Suspects the source when it is silent or behind, and drops expired suspicions.
    fn update_suspects(&mut self, now: Instant) {
        self.suspects.retain(|_, until| now < *until);
        let Source::Node {
            node,
            last_message_at,
            ..
        } = self.source
        else {
            return;
        };
        let is_silent = now >= last_message_at + SILENCE_TIMEOUT;
        let is_behind = now >= self.last_response_at + MAX_LAG;
        if self.rules.takeover && (is_silent || is_behind) {
            self.suspects.insert(node, now + SUSPICION_TIME);
        }
    }

    /// Switches to the first node in rank that isn't suspected.
    fn select_source(&mut self, now: Instant) {
        let preferred_source = self.preferred_source();
        let current = match self.source {
            Source::Log => self.node,
            Source::Node { node, .. } => node,
        };
        if preferred_source == current {
            return;
        }
        // A new source gets the whole of `MAX_LAG` before it can be suspected.
        self.last_response_at = now;
        self.source = if preferred_source == self.node {
            Source::Log
        } else {
            Source::Node {
                node: preferred_source,
                last_message_at: now,
                subscribed_at: None,
            }
        };
    }

    /// Returns the node to get entries from; this node if it should read the log itself.
    fn preferred_source(&self) -> Node {
        if self.suspects.len() >= MAX_SUSPECTS {
            return self.node;
        }
        let trusted = |node: &&Node| **node == self.node || !self.suspects.contains_key(node);
        let members = self.members.iter().filter(trusted);
        let preferred_source = members.max_by_key(|node| (weight(**node, self.seed), **node));
        preferred_source.copied().unwrap_or(self.node)
    }

    /// Fetches the page that the reader needs, or renews the subscription at the source.
    fn request_entries(&mut self, now: Instant, out: &mut Vec<Output>) {
        let next = self.next_offset;
        match &mut self.source {
            Source::Log => {
                if self.page_requested {
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

    /// Fetches from the log, unless a fetch is in flight.
    fn fetch(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.fetching_since.is_some() {
            return;
        }
        self.fetching_since = Some(now);
        out.push(Output::Fetch {
            from: self.next_offset,
        });
    }

    /// Sends new entries and heartbeats to the followers.
    fn send_to_followers(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.followers.expire(now);
        let age_ms = now.since(self.last_response_at).as_millis() as u64;
        for (to, page) in self.followers.due(now, &self.backlog, self.next_offset) {
            let message = Message::Entries { page, age_ms };
            out.push(Output::Send { to, message });
        }
    }
}
