//! How long leases last and how they are kept.

use std::time::Duration;

use laburnum_derive::value;

/// Parts in one, for rates.
const MILLION: u64 = 1_000_000;

/// Settings of a lease table; made by [`Settings::builder`].
#[value]
pub struct Settings {
    /// How long a lease lasts.
    pub duration: Duration,
    /// How old a lease gets before it is renewed.
    pub renew_after: Duration,
    /// How long an unanswered request for promises waits before it is repeated.
    pub ask_every: Duration,
    /// How much later the next in line claims, so that one claim is sent rather than three.
    pub stagger: Duration,
    /// How long an owner keeps a partition before it offers it to the preferred one, so that nodes
    /// whose views differ do not pass it back and forth.
    pub settle: Duration,
    /// How far the rate of a clock may be off, in parts per million.
    pub drift_ppm: u32,
    /// Which rules are in force; all of them, except in tests that show what each is for.
    #[doc(hidden)]
    pub rules: Rules,
}

/// Rules that tests switch off to show that the checks notice.
#[doc(hidden)]
#[value]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each rule is switched off by itself"
)]
pub struct Rules {
    /// Only the first successor of a record is valid.
    pub predecessor: bool,
    /// Promises count from when the holder asked.
    pub count_from_asking: bool,
    /// The holder counts its lease from before it sent the record.
    pub count_from_sending: bool,
    /// An ownership that lapsed never acts again.
    pub lapse_is_final: bool,
    /// A standby that claimed gives no promise.
    pub claim_bars_promise: bool,
    /// A standby keeps its promises.
    pub keep_promises: bool,
    /// Others lengthen a span by the bound on clock rates.
    pub margin: bool,
    /// Nodes named in a record still in flight must promise, too.
    pub ask_proposed: bool,
    /// The receiver of an offer waits for the holder to yield.
    pub wait_for_yield: bool,
    /// An outsider claims only when the holder and both standbys are gone.
    pub outsider_waits: bool,
    /// A VM counts as gone only on a list as new as the record.
    pub fresh_list: bool,
    /// A record says whether requests were dispatched unlogged.
    pub tell_exposure: bool,
}

impl Rules {
    /// All rules.
    pub const ALL: Rules = Rules {
        predecessor: true,
        count_from_asking: true,
        count_from_sending: true,
        lapse_is_final: true,
        claim_bars_promise: true,
        keep_promises: true,
        margin: true,
        ask_proposed: true,
        wait_for_yield: true,
        outsider_waits: true,
        fresh_list: true,
        tell_exposure: true,
    };
}

impl Settings {
    /// Starts from a lease of 10 s, renewed at a third.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the duration in the unit of the records.
    pub(super) fn duration_ms(&self) -> u32 {
        u32::try_from(self.duration.as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns how long to wait on this clock until `span` has passed on any clock.
    pub fn lengthened(&self, span: Duration) -> Duration {
        if !self.rules.margin {
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

/// Makes [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    duration: Duration,
    renew_after: Option<Duration>,
    ask_every: Option<Duration>,
    stagger: Duration,
    settle: Duration,
    drift_ppm: u32,
    rules: Rules,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            duration: Duration::from_secs(10),
            renew_after: None,
            ask_every: None,
            stagger: Duration::from_millis(500),
            settle: Duration::from_secs(5),
            drift_ppm: 1_000,
            rules: Rules::ALL,
        }
    }
}

impl Builder {
    /// Sets how long a lease lasts; whole milliseconds.
    pub fn duration(mut self, duration: Duration) -> Builder {
        self.duration = duration;
        self
    }

    /// Sets how old a lease gets before it is renewed; a third of the duration if not set.
    pub fn renew_after(mut self, age: Duration) -> Builder {
        self.renew_after = Some(age);
        self
    }

    /// Sets the pace of requests for promises; a sixth of the duration if not set.
    pub fn ask_every(mut self, span: Duration) -> Builder {
        self.ask_every = Some(span);
        self
    }

    /// Sets how much later the next in line claims.
    pub fn stagger(mut self, span: Duration) -> Builder {
        self.stagger = span;
        self
    }

    /// Sets how long an owner keeps a partition before it offers it to the preferred one.
    pub fn settle(mut self, span: Duration) -> Builder {
        self.settle = span;
        self
    }

    /// Sets how far the rate of a clock may be off, in parts per million.
    pub fn drift_ppm(mut self, drift: u32) -> Builder {
        self.drift_ppm = drift;
        self
    }

    /// Sets which rules are in force.
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
            ask_every: self.ask_every.unwrap_or(self.duration / 6),
            stagger: self.stagger,
            settle: self.settle,
            drift_ppm: self.drift_ppm,
            rules: self.rules,
        }
    }
}
