//! Size of the simulated deployment and load of the simulated callers.

use std::time::Duration;

/// Entries, spread evenly over the data centres.
pub(super) const ENTRIES: usize = 9;
/// Targets, spread evenly over the data centres.
pub(super) const TARGETS: usize = 50;
/// Requests that a target serves at once.
pub(super) const SLOTS: usize = 8;
/// Data centres; the last one is alone in its region.
pub(super) const DATA_CENTRES: usize = 3;
/// The size of a request's body, in bytes.
pub(super) const REQUEST_BYTES: u32 = 2000;
/// The size of an answer's body, in bytes.
pub(super) const ANSWER_BYTES: usize = 4000;

/// The size of a message between entries without its body, in bytes.
pub(super) const CONTROL_BYTES: usize = 80;

/// Arrivals of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrivals {
    /// Arrivals per second over all entries.
    pub(super) rate: f64,
    /// The mean service time of a target; service times are exponentially distributed.
    pub(super) service: Duration,
    /// The span from the arrival to the deadline.
    pub(super) timeout: Duration,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) lookups: Arrivals,
    /// Bulk requests, which run at most once.
    pub(super) bulk: Arrivals,
    /// The number of targets that fail every request after the warm-up.
    pub(super) failing: usize,
    /// Time before requests are counted.
    pub(super) warm_up: Duration,
    /// Time over which requests are counted.
    pub(super) span: Duration,
}

const NO_ARRIVALS: Arrivals = Arrivals {
    rate: 0.0,
    service: Duration::from_millis(1),
    timeout: Duration::from_secs(1),
};

impl Arrivals {
    /// Returns arrivals that occupy `share` of all slots; above 1.0 they exceed the capacity.
    fn filling(share: f64, service: Duration, timeout: Duration) -> Arrivals {
        let slots = (TARGETS * SLOTS) as f64;
        Arrivals {
            rate: share * slots / service.as_secs_f64(),
            service,
            timeout,
        }
    }

    fn lookups(share: f64) -> Arrivals {
        Arrivals::filling(share, Duration::from_millis(10), Duration::from_secs(2))
    }

    fn bulk(share: f64) -> Arrivals {
        Arrivals::filling(share, Duration::from_millis(200), Duration::from_secs(8))
    }
}

impl Scenario {
    fn new(lookups: Arrivals, bulk: Arrivals) -> Scenario {
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
        Scenario::new(Arrivals::lookups(share), NO_ARRIVALS)
    }

    /// Lookups beside bulk work of twice the capacity.
    pub(super) fn flood(share: f64) -> Scenario {
        Scenario::new(Arrivals::lookups(share), Arrivals::bulk(2.0))
    }

    /// Lookups alone, each of 100 ms, at `load` times the capacity.
    pub(super) fn overload(load: f64) -> Scenario {
        let service = Duration::from_millis(100);
        let lookups = Arrivals::filling(load, service, Duration::from_secs(2));
        Scenario::new(lookups, NO_ARRIVALS)
    }

    /// Bulk work alone at `load` times the capacity.
    pub(super) fn bulk(load: f64) -> Scenario {
        Scenario::new(NO_ARRIVALS, Arrivals::bulk(load))
    }

    /// Lookups at 40 % of capacity while a third of the targets fail.
    pub(super) fn failing() -> Scenario {
        let service = Duration::from_millis(50);
        let lookups = Arrivals::filling(0.4, service, Duration::from_secs(2));
        let mut scenario = Scenario::new(lookups, NO_ARRIVALS);
        scenario.failing = TARGETS / 3;
        scenario
    }

    /// Lookups and bulk work at half of capacity.
    pub(super) fn mixed() -> Scenario {
        Scenario::new(Arrivals::lookups(0.1), Arrivals::bulk(0.4))
    }
}
