//! The queue of one class of requests.

use std::collections::VecDeque;
use std::time::Duration;

use laburnum_derive::state;

use super::{Item, Share, SlotsByTier};
use crate::core::id::Caller;
use crate::core::request::call::Id;
use crate::core::request::rate::Rate;
use crate::core::time::Instant;

/// The virtual time of one request at weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1 << 20;

/// The waiting requests of one caller, in order of arrival.
#[state]
pub(super) struct CallerQueue {
    pub(super) caller: Caller,
    pub(super) items: VecDeque<Item>,
}

/// The waiting requests of one class, by caller.
#[state]
pub(super) struct ClassQueue {
    pub(super) share: Share,
    /// Non-empty queues of callers in round-robin order.
    pub(super) callers: VecDeque<CallerQueue>,
    pub(super) waiting: usize,
    /// Virtual start time of the next request, in units of [`VIRTUAL_TIME_UNIT`].
    pub(super) virtual_start: u64,
    /// The rate at which requests were taken since the queue was last empty.
    pub(super) served_rate: Rate,
}

impl ClassQueue {
    pub(super) fn new(share: Share) -> ClassQueue {
        ClassQueue {
            share,
            callers: VecDeque::new(),
            waiting: 0,
            virtual_start: 0,
            served_rate: Rate::default(),
        }
    }

    /// Returns whether a request waits and may use a free slot of a tier.
    pub(super) fn may_use(&self, slots: &SlotsByTier) -> bool {
        let mut slots = slots.iter();
        self.waiting > 0 && slots.any(|tier_slots| self.share.may_use(*tier_slots))
    }

    /// Returns the virtual time of one request: the inverse of the weight.
    pub(super) fn virtual_step(&self) -> u64 {
        VIRTUAL_TIME_UNIT / u64::from(self.share.weight.max(1))
    }

    /// Estimates the wait of a new request.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        self.served_rate.time_for(now, self.waiting as u64)
    }

    pub(super) fn caller_queue(&self, caller: &Caller) -> Option<&CallerQueue> {
        self.callers
            .iter()
            .find(|caller_queue| caller_queue.caller == *caller)
    }

    /// Appends a request to its caller's queue.
    pub(super) fn push(&mut self, item: Item) {
        self.waiting += 1;
        match self
            .callers
            .iter_mut()
            .find(|caller_queue| caller_queue.caller == item.caller)
        {
            Some(caller_queue) => caller_queue.items.push_back(item),
            None => self.callers.push_back(CallerQueue::new(item)),
        }
    }

    /// Puts a popped request back, so that it is popped next.
    pub(super) fn restore(&mut self, item: Item) {
        self.waiting += 1;
        let index = self
            .callers
            .iter()
            .position(|caller_queue| caller_queue.caller == item.caller);
        let caller_queue = match index.and_then(|index| self.callers.remove(index)) {
            Some(mut caller_queue) => {
                caller_queue.items.push_front(item);
                caller_queue
            }
            None => CallerQueue::new(item),
        };
        self.callers.push_front(caller_queue);
    }

    /// Takes the first request of the caller whose turn it is and ends the caller's turn.
    pub(super) fn pop(&mut self) -> Option<Item> {
        let mut caller_queue = self.callers.pop_front()?;
        let item = caller_queue.items.pop_front();
        if !caller_queue.items.is_empty() {
            self.callers.push_back(caller_queue);
        }
        self.waiting -= usize::from(item.is_some());
        item
    }

    /// Removes a waiting request and returns whether it was there.
    pub(super) fn remove(&mut self, id: Id) -> bool {
        let before = self.waiting;
        for caller_queue in &mut self.callers {
            let len_before = caller_queue.items.len();
            caller_queue.items.retain(|item| item.id != id);
            self.waiting -= len_before - caller_queue.items.len();
        }
        self.callers
            .retain(|caller_queue| !caller_queue.items.is_empty());
        self.waiting < before
    }
}

impl CallerQueue {
    pub(super) fn new(item: Item) -> CallerQueue {
        CallerQueue {
            caller: item.caller.clone(),
            items: VecDeque::from([item]),
        }
    }
}
