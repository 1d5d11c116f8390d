//! How heartbeats are paced and where data centres are.

use std::time::Duration;

use laburnum_derive::{message, value};

use crate::core::id::{DataCentre, Region};

/// Where a VM is.
#[value]
pub struct Site {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
}

impl Site {
    /// The site of a VM whose data centre is not in the settings.
    pub const UNKNOWN: Site = Site {
        data_centre: DataCentre(u16::MAX),
        region: Region(u16::MAX),
    };
}

/// A data centre by its name in the VM list.
#[message]
#[derive(Eq)]
pub struct Place {
    /// The name.
    pub name: String,
    /// Where it is.
    pub site: Site,
}

/// Settings of a view; made by [`Settings::builder`].
#[message]
#[derive(Eq)]
pub struct Settings {
    /// How often heartbeats are sent.
    pub interval: Duration,
    /// How long an entry is silent before its watchers suspect it.
    pub suspect_after: Duration,
    /// How long an entry is suspected before it counts as dead.
    pub dead_after: Duration,
    /// How many neighbours on the ring watch an entry.
    pub watchers: usize,
    /// How many updates of others a heartbeat carries at most.
    pub updates: usize,
    /// The data centres.
    pub places: Vec<Place>,
    /// Which rules are in force; all of them, except in tests that show what each is for.
    #[doc(hidden)]
    pub rules: Rules,
}

/// Rules that tests switch off to show that the checks notice.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// An entry refutes what is wrongly said of it.
    pub refute: bool,
    /// An observer that was paused suspects nobody for its own silence.
    pub notice_pause: bool,
    /// Only greater updates are adopted.
    pub order: bool,
}

impl Rules {
    /// All rules.
    pub const ALL: Rules = Rules {
        refute: true,
        notice_pause: true,
        order: true,
    };
}

impl Settings {
    /// Starts from a heartbeat twice a second.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns where a data centre is.
    pub fn site(&self, name: &str) -> Site {
        let place = self.places.iter().find(|place| place.name == name);
        place.map_or(Site::UNKNOWN, |place| place.site)
    }
}

/// Makes [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            settings: Settings {
                interval: Duration::from_millis(500),
                suspect_after: Duration::from_millis(2_500),
                dead_after: Duration::from_secs(5),
                watchers: 2,
                updates: 8,
                places: Vec::new(),
                rules: Rules::ALL,
            },
        }
    }
}

impl Builder {
    /// Sets how often heartbeats are sent.
    pub fn interval(mut self, span: Duration) -> Builder {
        self.settings.interval = span;
        self
    }

    /// Sets how long an entry is silent before it is suspected.
    pub fn suspect_after(mut self, span: Duration) -> Builder {
        self.settings.suspect_after = span;
        self
    }

    /// Sets how long an entry is suspected before it counts as dead.
    pub fn dead_after(mut self, span: Duration) -> Builder {
        self.settings.dead_after = span;
        self
    }

    /// Sets how many neighbours watch an entry.
    pub fn watchers(mut self, count: usize) -> Builder {
        self.settings.watchers = count;
        self
    }

    /// Sets how many updates a heartbeat carries.
    pub fn updates(mut self, count: usize) -> Builder {
        self.settings.updates = count;
        self
    }

    /// Sets the data centres.
    pub fn places(mut self, places: Vec<Place>) -> Builder {
        self.settings.places = places;
        self
    }

    /// Sets which rules are in force.
    #[doc(hidden)]
    pub fn rules(mut self, rules: Rules) -> Builder {
        self.settings.rules = rules;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
