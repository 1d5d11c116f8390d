//! The waiting requests of one service at one entry.
//!
//! Classes share the slots by start-time fair queueing (Goyal, Vin and Cheng 1996): each class has
//! a virtual time that grows by the inverse of its weight with each request, and the class with the
//! lowest virtual time is served next. Within a class callers are served in round-robin order, so a
//! caller with many requests delays only itself. Some slots are reserved for lookups: a request of
//! another class is popped only while more slots than these are free.
//!
//! Queues are bounded by count and by time. A request that would wait for more than half of its
//! time at the current rate is refused at once with a time after which to retry; the other half
//! allows for service times above the average. A request whose deadline can no longer be met is
//! dropped when it is popped.

mod class;

use std::time::Duration;

use laburnum_derive::{message, state, value};

use self::class::ClassQueue;
use super::call::Id;
use crate::core::id::Caller;
use crate::core::time::Instant;
use crate::core::workload::Priority;

/// The weight and the bounds of one class.
#[value]
pub struct Share {
    /// The share of the slots relative to the other classes with waiting requests.
    pub weight: u32,
    /// The maximum number of waiting requests of the class.
    pub max_waiting: usize,
    /// The maximum number of waiting requests of one caller in the class.
    pub max_waiting_per_caller: usize,
    /// The minimum of free slots that this class leaves to lookups, in thousandths of all held
    /// slots.
    pub reserve_permille: u32,
    /// Whether the class uses other regions only when this region has no usable target.
    pub stays_in_region: bool,
}

/// The parameters of each class.
#[value]
pub struct Rules {
    /// The parameters of [`Priority::Lookup`].
    pub lookup: Share,
    /// The parameters of [`Priority::Normal`].
    pub normal: Share,
    /// The parameters of [`Priority::Bulk`].
    pub bulk: Share,
}

/// A waiting request.
#[message]
pub struct Item {
    /// The request.
    pub id: Id,
    /// Its caller.
    pub caller: Caller,
    /// Its class.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Instant,
    /// When its final answer is due.
    pub deadline: Instant,
}

/// The error for a request that the queue can't accept.
#[value]
pub struct Full {
    /// The minimum wait before the request is sent again.
    pub retry_after: Duration,
}

/// The slots of one tier of targets that this traffic thread holds.
#[value]
#[derive(Default)]
pub struct TierSlots {
    /// Slots without a request.
    pub free: u32,
    /// All held slots, free or occupied.
    pub held: u32,
    /// Slots reserved for lookups, estimated from their recent number.
    pub reserved: u32,
}

/// The slots of each tier, nearest first.
pub type SlotsByTier = [TierSlots; 3];

/// The average response time of targets for each class, in the order of [`Priority::ALL`].
pub type Times = [Duration; Priority::ALL.len()];

/// The result of [`Queue::pop`].
#[state]
#[derive(Default)]
pub struct Popped {
    /// The request to send next, if any.
    pub next: Option<Item>,
    /// Requests ahead of it that were removed because their deadline can no longer be met.
    pub dropped: Vec<Item>,
}

/// The queued requests of one service, by class.
#[state]
pub struct Queue {
    classes: [ClassQueue; 3],
    virtual_time: u64,
}

/// The factor applied to the estimated wait of a request when it is compared with the deadline.
const WAIT_MARGIN: u32 = 2;

/// The time reserved for the target before the deadline, in multiples of the average response time.
const SERVICE_MARGIN: u32 = 3;

/// The estimated response time is capped at a request's whole time divided by this.
const SERVICE_TIME_DIVISOR: u32 = 4;

/// The bounds of [`Full::retry_after`].
const RETRY_AFTER: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_secs(30);

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            lookup: Share {
                weight: 16,
                max_waiting: 4096,
                max_waiting_per_caller: 1024,
                reserve_permille: 0,
                stays_in_region: false,
            },
            normal: Share {
                weight: 4,
                max_waiting: 4096,
                max_waiting_per_caller: 1024,
                reserve_permille: 20,
                stays_in_region: false,
            },
            bulk: Share {
                weight: 1,
                max_waiting: 8192,
                max_waiting_per_caller: 4096,
                reserve_permille: 20,
                stays_in_region: true,
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
    /// Caps an estimated response time at a share of the request's whole time.
    ///
    /// After a pause the estimate may be far too high. If it kept requests from being sent, no new
    /// sample could correct it.
    pub fn cap_service_time(&self, service: Duration) -> Duration {
        service.min(self.deadline.since(self.arrived) / SERVICE_TIME_DIVISOR)
    }
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(rules: &Rules) -> Queue {
        Queue {
            classes: Priority::ALL.map(|priority| ClassQueue::new(rules.share(priority))),
            virtual_time: 0,
        }
    }

    /// Returns the number of waiting requests of a class.
    pub fn waiting(&self, priority: Priority) -> usize {
        self.classes[priority as usize].waiting
    }

    /// Returns the number of waiting requests of all classes.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.waiting).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Checks whether a request may be pushed now; `service` is the average response time of its
    /// class.
    ///
    /// # Errors
    ///
    /// [`Full`] when a bound is reached or the deadline would probably pass while the request
    /// waits.
    pub fn check(&self, now: Instant, item: &Item, service: Duration) -> Result<(), Full> {
        let class = &self.classes[item.priority as usize];
        let wait = class.wait(now);
        let service = item.cap_service_time(service);
        let is_late = now + wait * WAIT_MARGIN + service * SERVICE_MARGIN > item.deadline;
        let of_caller = class
            .caller_queue(&item.caller)
            .map_or(0, |caller_queue| caller_queue.items.len());
        let is_full = class.waiting >= class.share.max_waiting
            || of_caller >= class.share.max_waiting_per_caller;
        if is_full || (is_late && class.waiting > 0) {
            return Err(Full {
                retry_after: wait.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end()),
            });
        }
        Ok(())
    }

    /// Appends a request to its caller's queue.
    pub fn push(&mut self, now: Instant, item: Item) {
        let virtual_time = self.virtual_time;
        let class = &mut self.classes[item.priority as usize];
        if class.waiting == 0 {
            class.virtual_start = class.virtual_start.max(virtual_time);
            class.served_rate.restart(now);
        }
        class.push(item);
    }

    /// Takes the next request that may use a free slot. `slots` holds the slots by tier that each
    /// class may use, and `service` the average response time of each class, both in the order of
    /// [`Priority::ALL`].
    pub fn pop(&mut self, now: Instant, slots: &[SlotsByTier; 3], service: &Times) -> Popped {
        let mut popped = Popped::default();
        while popped.next.is_none() {
            let Some(index) = self.next_class(slots) else {
                break;
            };
            self.pop_class(now, index, service[index], &mut popped);
        }
        popped
    }

    /// Puts back a popped request that could not be sent, so that it is popped next.
    pub fn restore(&mut self, item: Item) {
        let class = &mut self.classes[item.priority as usize];
        class.virtual_start = class.virtual_start.saturating_sub(class.virtual_step());
        class.restore(item);
    }

    /// Removes a waiting request and returns whether it was there.
    pub fn remove(&mut self, id: Id, priority: Priority) -> bool {
        self.classes[priority as usize].remove(id)
    }

    /// Returns the class with the lowest virtual time among those that may use a free slot.
    fn next_class(&self, slots: &[SlotsByTier; 3]) -> Option<usize> {
        let classes = self.classes.iter().zip(slots).enumerate();
        let usable = classes.filter(|(_, (class, slots))| class.may_use(slots));
        let due = usable.min_by_key(|(_, (class, _))| class.virtual_start);
        due.map(|(index, _)| index)
    }

    /// Takes the next request of a class.
    fn pop_class(&mut self, now: Instant, index: usize, service: Duration, popped: &mut Popped) {
        let class = &mut self.classes[index];
        let Some(item) = class.pop() else {
            return;
        };
        if now + item.cap_service_time(service) > item.deadline {
            popped.dropped.push(item);
            return;
        }
        self.virtual_time = self.virtual_time.max(class.virtual_start);
        class.virtual_start += class.virtual_step();
        class.served_rate.count(now);
        popped.next = Some(item);
    }
}

impl Share {
    /// Returns whether the class may use one of the free slots of a tier, given the reservation for
    /// lookups.
    pub fn may_use(&self, tier_slots: TierSlots) -> bool {
        let for_lookups = if self.reserve_permille > 0 {
            tier_slots.reserved
        } else {
            0
        };
        let minimum = (tier_slots.held * self.reserve_permille).div_ceil(1000);
        let reserve = for_lookups.max(minimum);
        // If all held slots were reserved, the class would never be served.
        tier_slots.free > reserve.min(tier_slots.held.saturating_sub(1))
    }
}
