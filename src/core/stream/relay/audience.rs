//! The followers of a relay and what each has been sent.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;

use super::backlog::Backlog;
use crate::core::id::Node;
use crate::core::time::Instant;
use crate::platform::log::Page;

/// A follower that hasn't subscribed for this long is gone.
const SUBSCRIPTION: Duration = Duration::from_secs(4);

/// How often a follower hears from its relay at least.
pub const HEARTBEAT: Duration = Duration::from_millis(500);

/// One follower.
#[state]
struct Follower {
    /// The position in its last subscription.
    asked: u64,
    /// The offset after the last entry that it was sent.
    sent: u64,
    subscribed_at: Instant,
    sent_at: Option<Instant>,
}

/// All followers.
#[state]
#[derive(Default)]
pub(super) struct Audience {
    followers: BTreeMap<Node, Follower>,
}

impl Audience {
    /// Takes note that `node` wants the entries from `next` on.
    ///
    /// A follower that asks twice for the same position has not got what it was sent.
    pub(super) fn subscribe(&mut self, now: Instant, node: Node, next: u64) {
        let fresh = Follower {
            asked: next,
            sent: next,
            subscribed_at: now,
            sent_at: None,
        };
        let follower = self.followers.entry(node).or_insert(fresh);
        if follower.asked == next || next > follower.sent {
            follower.sent = next;
        }
        follower.asked = next;
        follower.subscribed_at = now;
    }

    /// Drops the followers that are gone.
    pub(super) fn expire(&mut self, now: Instant) {
        self.followers
            .retain(|_, follower| now < follower.subscribed_at + SUBSCRIPTION);
    }

    /// Returns what each follower is to be sent now that the stream was read up to `next`: new
    /// entries, or an empty page as heartbeat.
    pub(super) fn due(&mut self, now: Instant, backlog: &Backlog, next: u64) -> Vec<(Node, Page)> {
        let mut pages = Vec::new();
        for (node, follower) in &mut self.followers {
            let is_silent = follower.sent_at.is_none_or(|at| now >= at + HEARTBEAT);
            let has_news = backlog.end().is_some_and(|end| end > follower.sent);
            if !has_news && !is_silent {
                continue;
            }
            let page = if has_news {
                backlog.page(follower.sent, next)
            } else {
                backlog.bounds(next)
            };
            if let Some(last) = page.entries.last() {
                follower.sent = last.offset + 1;
            }
            follower.sent_at = Some(now);
            pages.push((*node, page));
        }
        pages
    }

    /// Returns when the next heartbeat is due.
    pub(super) fn wake_at(&self) -> Option<Instant> {
        let due = |follower: &Follower| follower.sent_at.map_or(Instant(0), |at| at + HEARTBEAT);
        self.followers.values().map(due).min()
    }

    /// Returns how many followers there are.
    pub(super) fn len(&self) -> usize {
        self.followers.len()
    }
}
