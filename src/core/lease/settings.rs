//! Settings of leases: durations, intervals and the bound on clock rates.

use std::time::Duration;

use laburnum_derive::value;

/// Parts per million in a rate of one.
const MILLION: u64 = 1_000_000;

/// Settings of a lease table; built by [`Settings::builder`].
#[value]
pub struct Settings {
    /// How long a lease lasts.
    pub duration: Duration,
    /// The age at which a lease is renewed.
    pub renew_after: Duration,
    /// How long after a request for promises the next one is sent.
    pub promise_request_interval: Duration,
    /// How much later each further candidate claims than the one before it, so that one claim is
    /// sent rather than three.
    pub stagger: Duration,
    /// How long an owner keeps a partition before it offers it to the preferred owner, so that
    /// nodes with different views do not move it back and forth.
    pub min_hold: Duration,
    /// The maximum error of a clock's rate, in parts per million.
    pub drift_ppm: u32,
    /// The rules in force. All are, except in tests that show what each rule prevents.
    #[doc(hidden)]
    pub rules: Rules,
}

/// Rules that tests switch off to show that their checks detect the resulting violations.
#[doc(hidden)]
#[value]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each rule is switched off by itself"
)]
pub struct Rules {
    /// Only the first successor of a record is valid.
    pub check_predecessor: bool,
    /// Promises count from when the holder requested them.
    pub count_from_request: bool,
    /// The holder counts its lease from before it sent the record.
    pub count_from_sending: bool,
    /// An ownership that lapsed does not become active again.
    pub lapse_is_final: bool,
    /// A standby whose claim is in flight gives no promise.
    pub claim_prevents_promise: bool,
    /// A standby does not claim while a promise that it gave is in force.
    pub keep_promises: bool,
    /// Nodes other than the holder lengthen a lease by the bound on clock rates.
    pub drift_margin: bool,
    /// An extension also needs promises of the nodes that a record in flight or an offer names.
    pub pending_successors_promise: bool,
    /// A node that accepted an offer waits until the former holder yields or its time has ended.
    pub wait_for_yield: bool,
    /// A node that the record does not name claims only when the holder and both standbys are gone.
    pub outsider_waits: bool,
    /// A missing VM counts as gone only if the VM list is at least as new as the one that the
    /// record was written with.
    pub fresh_vm_list: bool,
    /// A renewal states whether requests may have been dispatched unlogged.
    pub record_unlogged: bool,
}

impl Rules {
    /// All rules.
    pub const ALL: Rules = Rules {
        check_predecessor: true,
        count_from_request: true,
        count_from_sending: true,
        lapse_is_final: true,
        claim_prevents_promise: true,
        keep_promises: true,
        drift_margin: true,
        pending_successors_promise: true,
        wait_for_yield: true,
        outsider_waits: true,
        fresh_vm_list: true,
        record_unlogged: true,
    };
}

impl Settings {
    /// Returns a builder with a lease of 10 s that is renewed after a third of its duration.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the duration of a lease in milliseconds, as records contain it.
    pub(super) fn duration_ms(&self) -> u32 {
        u32::try_from(self.duration.as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns how long to wait on this clock so that `span` has passed on any clock within the
    /// drift bound.
    pub fn lengthened(&self, span: Duration) -> Duration {
        if !self.rules.drift_margin {
            return span;
        }
        let fast = MILLION + u64::from(self.drift_ppm);
        let slow = MILLION.saturating_sub(u64::from(self.drift_ppm)).max(1);
        let micros = span.as_micros() * u128::from(fast);
        Duration::from_micros(micros.div_ceil(u128::from(slow)) as u64)
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings::builder().build()
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    duration: Duration,
    renew_after: Option<Duration>,
    promise_request_interval: Option<Duration>,
    stagger: Duration,
    min_hold: Duration,
    drift_ppm: u32,
    rules: Rules,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            duration: Duration::from_secs(10),
            renew_after: None,
            promise_request_interval: None,
            stagger: Duration::from_millis(500),
            min_hold: Duration::from_secs(5),
            drift_ppm: 1_000,
            rules: Rules::ALL,
        }
    }
}

impl Builder {
    /// Sets how long a lease lasts. Fractions of a millisecond are not supported.
    pub fn duration(mut self, duration: Duration) -> Builder {
        self.duration = duration;
        self
    }

    /// Sets the age at which a lease is renewed; a third of the duration if not set.
    pub fn renew_after(mut self, age: Duration) -> Builder {
        self.renew_after = Some(age);
        self
    }

    /// Sets the interval between requests for promises; a sixth of the duration if not set.
    pub fn promise_request_interval(mut self, span: Duration) -> Builder {
        self.promise_request_interval = Some(span);
        self
    }

    /// Sets how much later each further candidate claims than the one before it.
    pub fn stagger(mut self, span: Duration) -> Builder {
        self.stagger = span;
        self
    }

    /// Sets how long an owner keeps a partition before it offers it to the preferred owner.
    pub fn min_hold(mut self, span: Duration) -> Builder {
        self.min_hold = span;
        self
    }

    /// Sets the maximum error of a clock's rate, in parts per million.
    pub fn drift_ppm(mut self, drift: u32) -> Builder {
        self.drift_ppm = drift;
        self
    }

    /// Sets the rules in force.
    #[doc(hidden)]
    pub fn rules(mut self, rules: Rules) -> Builder {
        self.rules = rules;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        Settings {
            duration: self.duration,
            renew_after: self.renew_after.unwrap_or(self.duration / 3),
            promise_request_interval: self.promise_request_interval.unwrap_or(self.duration / 6),
            stagger: self.stagger,
            min_hold: self.min_hold,
            drift_ppm: self.drift_ppm,
            rules: self.rules,
        }
    }
}
