//! The waiting requests of one class.

use std::collections::VecDeque;
use std::time::Duration;

use laburnum_derive::state;

use super::{Item, Rooms, Share};
use crate::core::id::Caller;
use crate::core::request::call::Id;
use crate::core::request::rate::Rate;
use crate::core::time::Instant;

/// Virtual time that one request takes at weight 1.
const VIRTUAL_UNIT: u64 = 1 << 20;

/// The waiting requests of one caller.
#[state]
pub(super) struct Line {
    pub(super) caller: Caller,
    pub(super) items: VecDeque<Item>,
}

/// The waiting requests of one class.
#[state]
pub(super) struct Lane {
    pub(super) share: Share,
    /// Lines in turn; none is empty.
    pub(super) lines: VecDeque<Line>,
    pub(super) waiting: usize,
    /// Virtual start time of the next request, in units of [`VIRTUAL_UNIT`].
    pub(super) start: u64,
    /// How fast requests are served since the class last began to wait.
    pub(super) served: Rate,
}

impl Lane {
    pub(super) fn new(share: Share) -> Lane {
        Lane {
            share,
            lines: VecDeque::new(),
            waiting: 0,
            start: 0,
            served: Rate::default(),
        }
    }

    /// Returns whether a request waits that may use the room.
    pub(super) fn may_use(&self, rooms: &Rooms) -> bool {
        let mut rooms = rooms.iter();
        self.waiting > 0 && rooms.any(|room| self.share.may_use(*room))
    }

    /// Returns the virtual time that one request takes.
    pub(super) fn step(&self) -> u64 {
        VIRTUAL_UNIT / u64::from(self.share.weight.max(1))
    }

    /// Estimates how long a new request would wait.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        self.served.time_for(now, self.waiting as u64)
    }

    pub(super) fn line(&self, caller: &Caller) -> Option<&Line> {
        self.lines.iter().find(|line| line.caller == *caller)
    }

    pub(super) fn push(&mut self, item: Item) {
        self.waiting += 1;
        match self
            .lines
            .iter_mut()
            .find(|line| line.caller == item.caller)
        {
            Some(line) => line.items.push_back(item),
            None => self.lines.push_back(Line::new(item)),
        }
    }

    pub(super) fn restore(&mut self, item: Item) {
        self.waiting += 1;
        let index = self
            .lines
            .iter()
            .position(|line| line.caller == item.caller);
        let line = match index.and_then(|index| self.lines.remove(index)) {
            Some(mut line) => {
                line.items.push_front(item);
                line
            }
            None => Line::new(item),
        };
        self.lines.push_front(line);
    }

    /// Takes the first request of the line in turn and moves the line to the back.
    pub(super) fn pop(&mut self) -> Option<Item> {
        let mut line = self.lines.pop_front()?;
        let item = line.items.pop_front();
        if !line.items.is_empty() {
            self.lines.push_back(line);
        }
        self.waiting -= usize::from(item.is_some());
        item
    }

    pub(super) fn remove(&mut self, id: Id) -> bool {
        let before = self.waiting;
        for line in &mut self.lines {
            let held = line.items.len();
            line.items.retain(|item| item.id != id);
            self.waiting -= held - line.items.len();
        }
        self.lines.retain(|line| !line.items.is_empty());
        self.waiting < before
    }
}

impl Line {
    pub(super) fn new(item: Item) -> Line {
        Line {
            caller: item.caller.clone(),
            items: VecDeque::from([item]),
        }
    }
}
