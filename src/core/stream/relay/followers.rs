//! The followers of a relay and the position up to which each has been sent entries.

use std::collections::BTreeMap;
use std::time::Duration;

use laburnum_derive::state;

use super::backlog::Backlog;
use crate::core::id::Node;
use crate::core::time::Instant;
use crate::platform::log::Page;

/// A follower that hasn't renewed its subscription for this long is removed.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_secs(4);

/// The maximum time between two messages from a relay to a follower.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// One follower.
#[state]
struct Follower {
    /// The position in its last subscription.
    requested: u64,
    /// The offset after the last entry that was sent to it.
    sent: u64,
    subscribed_at: Instant,
    sent_at: Option<Instant>,
}

/// All followers of a relay, by node.
#[state]
#[derive(Default)]
pub(super) struct Followers {
    followers: BTreeMap<Node, Follower>,
}

impl Followers {
    /// Adds or renews the subscription of `node` to the entries from `next` on.
    ///
    /// A follower that requests the same position twice has not received the entries that were sent
    /// to it, so they are sent again.
    pub(super) fn subscribe(&mut self, now: Instant, node: Node, next: u64) {
        let new_follower = Follower {
            requested: next,
            sent: next,
            subscribed_at: now,
            sent_at: None,
        };
        let follower = self.followers.entry(node).or_insert(new_follower);
        if follower.requested == next || next > follower.sent {
            follower.sent = next;
        }
        follower.requested = next;
        follower.subscribed_at = now;
    }

    /// Removes the followers whose subscription has timed out.
    pub(super) fn expire(&mut self, now: Instant) {
        self.followers
            .retain(|_, follower| now < follower.subscribed_at + SUBSCRIPTION_TIMEOUT);
    }

    /// Returns the pages to send now, given that the stream was read up to `next`: new entries, or
    /// an empty page as a heartbeat.
    pub(super) fn due(&mut self, now: Instant, backlog: &Backlog, next: u64) -> Vec<(Node, Page)> {
        let mut pages = Vec::new();
        for (node, follower) in &mut self.followers {
            let is_silent = follower
                .sent_at
                .is_none_or(|at| now >= at + HEARTBEAT_INTERVAL);
            let has_new_entries = backlog.end().is_some_and(|end| end > follower.sent);
            if !has_new_entries && !is_silent {
                continue;
            }
            let page = if has_new_entries {
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
        let due = |follower: &Follower| {
            follower
                .sent_at
                .map_or(Instant(0), |at| at + HEARTBEAT_INTERVAL)
        };
        self.followers.values().map(due).min()
    }

    /// Returns the number of followers.
    pub(super) fn len(&self) -> usize {
        self.followers.len()
    }
}
