//! What the simulated callers ask for.

use std::time::Duration;

/// Entries, spread evenly over the data centres.
pub(super) const ENTRIES: usize = 9;
/// Targets, spread evenly over the data centres.
pub(super) const TARGETS: usize = 50;
/// Requests that a target serves at once.
pub(super) const SLOTS: usize = 8;
/// Data centres; the last one is alone in its region.
pub(super) const DATA_CENTRES: usize = 3;
/// The size of a request's body.
pub(super) const REQUEST_BYTES: u32 = 2000;
/// The size of an answer's body.
pub(super) const ANSWER_BYTES: usize = 4000;

/// Arrivals of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stream {
    /// Arrivals per second over all entries.
    pub(super) rate: f64,
    /// The mean time that a target needs, exponentially distributed.
    pub(super) service: Duration,
    /// The span until the deadline.
    pub(super) patience: Duration,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) lookups: Stream,
    /// Filings that run at most once.
    pub(super) bulk: Stream,
    /// Targets that fail everything.
    pub(super) failing: usize,
    /// Time before statistics are kept.
    pub(super) warm_up: Duration,
    /// Time over which statistics are kept.
    pub(super) span: Duration,
}

const NONE: Stream = Stream {
    rate: 0.0,
    service: Duration::from_millis(1),
    patience: Duration::from_secs(1),
};

impl Stream {
    /// Returns a stream that fills a share of all slots.
    fn filling(share: f64, service: Duration, patience: Duration) -> Stream {
        let slots = (TARGETS * SLOTS) as f64;
        Stream {
            rate: share * slots / service.as_secs_f64(),
            service,
            patience,
        }
    }

    fn lookups(share: f64) -> Stream {
        Stream::filling(share, Duration::from_millis(10), Duration::from_secs(2))
    }

    fn bulk(share: f64) -> Stream {
        Stream::filling(share, Duration::from_millis(200), Duration::from_secs(8))
    }
}

impl Scenario {
    fn new(lookups: Stream, bulk: Stream) -> Scenario {
        Scenario {
            lookups,
            bulk,
            failing: 0,
            warm_up: Duration::from_secs(8),
            span: Duration::from_secs(20),
        }
    }

    /// Lookups alone.
    pub(super) fn lookups(share: f64) -> Scenario {
        Scenario::new(Stream::lookups(share), NONE)
    }

    /// Lookups, and twice as much bulk work as all slots hold.
    pub(super) fn flood(share: f64) -> Scenario {
        Scenario::new(Stream::lookups(share), Stream::bulk(2.0))
    }

    /// Lookups of one kind only, as many as fill the slots so many times.
    pub(super) fn overload(load: f64) -> Scenario {
        let service = Duration::from_millis(100);
        let lookups = Stream::filling(load, service, Duration::from_secs(2));
        Scenario::new(lookups, NONE)
    }

    /// Lookups at 40 % of capacity, a third of the targets failing.
    pub(super) fn failing() -> Scenario {
        let service = Duration::from_millis(50);
        let lookups = Stream::filling(0.4, service, Duration::from_secs(2));
        let mut scenario = Scenario::new(lookups, NONE);
        scenario.failing = TARGETS / 3;
        scenario
    }

    /// Lookups and bulk work at half of capacity.
    pub(super) fn mixed() -> Scenario {
        Scenario::new(Stream::lookups(0.1), Stream::bulk(0.4))
    }
}
