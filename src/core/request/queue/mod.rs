//! The waiting requests of one service at one entry.
//!
//! Classes share the slots by start-time fair queueing (Goyal, Vin and Cheng 1996): each class has a
//! virtual time that grows by the inverse of its weight, and the class furthest behind is served.
//! Within a class callers take turns, so a caller with many requests delays only itself. Some slots
//! are reserved for lookups: another class is popped only while more slots are free than that. Queues are bounded by count and by time: a request that by the present rate would
//! wait for more than half of its time is refused at once with when to come back, which leaves room
//! for service times above the usual one; a request whose deadline can no longer be met is dropped
//! when its turn comes.

mod lane;

use std::time::Duration;

use laburnum_derive::{message, state, value};

use self::lane::Lane;
use super::call::Id;
use crate::core::id::Caller;
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// The share and the bounds of one class.
#[value]
pub struct Share {
    /// The weight among classes that wait.
    pub weight: u32,
    /// Requests of the class that may wait.
    pub most: usize,
    /// Requests of one caller that may wait in the class.
    pub most_per_caller: usize,
    /// Free slots that this class leaves to lookups at least, in thousandths of all held.
    pub leave_permille: u32,
    /// Whether the class goes to another region only when its own has no target at all.
    pub stays_near: bool,
}

/// The rules of the queue, by class.
#[value]
pub struct Rules {
    /// Lookups.
    pub lookup: Share,
    /// Single filings and route builds.
    pub normal: Share,
    /// Bulk filings and route builds.
    pub bulk: Share,
}

/// A waiting request.
#[message]
pub struct Item {
    /// The request.
    pub id: Id,
    /// Who asked.
    pub caller: Caller,
    /// Its class.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Instant,
    /// When its final answer is due.
    pub deadline: Instant,
}

/// Why a request is not queued.
#[value]
pub struct Full {
    /// When to come back at the earliest.
    pub retry_after: Duration,
}

/// The slots of one tier of targets when a request is popped.
#[value]
#[derive(Default)]
pub struct Room {
    /// Slots that are free now.
    pub free: u32,
    /// Slots held in all, free or not.
    pub held: u32,
    /// Slots that are kept for lookups by their recent number.
    pub kept: u32,
}

/// The room in each tier, nearest first.
pub type Rooms = [Room; 3];

/// The usual time of a request of each class at a target, in the order of [`Priority::ALL`].
pub type Times = [Duration; Priority::ALL.len()];

/// What [`Queue::pop`] found.
#[state]
#[derive(Default)]
pub struct Popped {
    /// The request whose turn it is.
    pub next: Option<Item>,
    /// Requests before it whose deadline can't be met any more.
    pub dropped: Vec<Item>,
}

/// The queue.
#[state]
pub struct Queue {
    lanes: [Lane; 3],
    virtual_time: u64,
}

/// A request is refused when this many times its estimated wait would pass its deadline.
const WAIT_MARGIN: u32 = 2;

/// The part of the deadline that is left for the target, in usual times.
const SERVICE_MARGIN: u32 = 3;

/// The estimated time at a target counts for no more than one part in so many of a request's time.
const SERVICE_SHARE: u32 = 4;

/// The shortest and longest time to come back that an overloaded queue names.
const COME_BACK: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_secs(30);

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            lookup: Share {
                weight: 16,
                most: 4096,
                most_per_caller: 1024,
                leave_permille: 0,
                stays_near: false,
            },
            normal: Share {
                weight: 4,
                most: 4096,
                most_per_caller: 1024,
                leave_permille: 20,
                stays_near: false,
            },
            bulk: Share {
                weight: 1,
                most: 8192,
                most_per_caller: 4096,
                leave_permille: 20,
                stays_near: true,
            },
        }
    }
}

impl Rules {
    /// Returns the share of a class.
    pub fn share(&self, priority: Priority) -> Share {
        match priority {
            Priority::Lookup => self.lookup,
            Priority::Normal => self.normal,
            Priority::Bulk => self.bulk,
        }
    }
}

impl Item {
    /// Bounds an estimated time at a target by a share of the request's whole time. An estimate may
    /// be far off after a pause, and if nothing were sent for it, nothing would correct it.
    pub fn bounded(&self, service: Duration) -> Duration {
        service.min(self.deadline.since(self.arrived) / SERVICE_SHARE)
    }
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(rules: &Rules) -> Queue {
        Queue {
            lanes: Priority::ALL.map(|priority| Lane::new(rules.share(priority))),
            virtual_time: 0,
        }
    }

    /// Returns how many requests of a class wait.
    pub fn waiting(&self, priority: Priority) -> usize {
        self.lanes[priority as usize].waiting
    }

    /// Returns how many requests wait in all.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|lane| lane.waiting).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Checks whether a request may be pushed now; `service` is the time that it usually takes.
    ///
    /// # Errors
    ///
    /// [`Full`] when a bound is reached or the deadline would pass while it waits.
    pub fn check(&self, now: Instant, item: &Item, service: Duration) -> Result<(), Full> {
        let lane = &self.lanes[item.priority as usize];
        let wait = lane.wait(now);
        let service = item.bounded(service);
        let late = now + wait * WAIT_MARGIN + service * SERVICE_MARGIN > item.deadline;
        let own = lane.line(&item.caller).map_or(0, |line| line.items.len());
        let full = lane.waiting >= lane.share.most || own >= lane.share.most_per_caller;
        if full || (late && lane.waiting > 0) {
            return Err(Full {
                retry_after: wait.clamp(*COME_BACK.start(), *COME_BACK.end()),
            });
        }
        Ok(())
    }

    /// Queues a request at the end of its caller's line.
    pub fn push(&mut self, now: Instant, item: Item) {
        let virtual_time = self.virtual_time;
        let lane = &mut self.lanes[item.priority as usize];
        if lane.waiting == 0 {
            lane.start = lane.start.max(virtual_time);
            lane.served.restart(now);
        }
        lane.push(item);
    }

    /// Takes the request whose turn it is and that may use the rooms of its class.
    pub fn pop(&mut self, now: Instant, rooms: &[Rooms; 3], service: &Times) -> Popped {
        let mut popped = Popped::default();
        while popped.next.is_none() {
            let Some(index) = self.due_lane(rooms) else {
                break;
            };
            self.pop_lane(now, index, service[index], &mut popped);
        }
        popped
    }

    /// Puts a request that could not be dispatched back in front.
    pub fn restore(&mut self, item: Item) {
        let lane = &mut self.lanes[item.priority as usize];
        lane.start = lane.start.saturating_sub(lane.step());
        lane.restore(item);
    }

    /// Removes a waiting request and returns whether it was there.
    pub fn remove(&mut self, id: Id, priority: Priority) -> bool {
        self.lanes[priority as usize].remove(id)
    }

    /// Returns the lane furthest behind among those that may use the room.
    fn due_lane(&self, rooms: &[Rooms; 3]) -> Option<usize> {
        let lanes = self.lanes.iter().zip(rooms).enumerate();
        let usable = lanes.filter(|(_, (lane, rooms))| lane.may_use(rooms));
        let due = usable.min_by_key(|(_, (lane, _))| lane.start);
        due.map(|(index, _)| index)
    }

    /// Takes the next request of a lane.
    fn pop_lane(&mut self, now: Instant, index: usize, service: Duration, popped: &mut Popped) {
        let lane = &mut self.lanes[index];
        let Some(item) = lane.pop() else {
            return;
        };
        if now + item.bounded(service) > item.deadline {
            popped.dropped.push(item);
            return;
        }
        self.virtual_time = self.virtual_time.max(lane.start);
        lane.start += lane.step();
        lane.served.count(now);
        popped.next = Some(item);
    }
}

impl Share {
    /// Returns whether the class may use one of the free slots of a tier.
    pub fn may_use(&self, room: Room) -> bool {
        let kept = if self.leave_permille > 0 {
            room.kept
        } else {
            0
        };
        let least = (room.held * self.leave_permille).div_ceil(1000);
        let reserve = kept.max(least);
        // A reserve of all that is held would shut the class out for good.
        room.free > reserve.min(room.held.saturating_sub(1))
    }
}
