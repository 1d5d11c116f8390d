//! Settings of membership: heartbeat intervals, time limits, and the regions of data centres.

use std::time::Duration;

use laburnum_derive::{message, value};

use crate::core::id::{DataCentre, Region};

/// The location of a VM.
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
pub struct DataCentreSite {
    /// The name.
    pub name: String,
    /// Its identifier and region.
    pub site: Site,
}

/// Settings of a view; built by [`Settings::builder`].
#[message]
#[derive(Eq)]
pub struct Settings {
    /// The time between two rounds of heartbeats.
    pub interval: Duration,
    /// How long an entry sends no heartbeat before its watchers suspect it.
    pub suspect_after: Duration,
    /// How long an entry is suspected before it counts as dead.
    pub dead_after: Duration,
    /// The number of neighbours on the ring that watch an entry.
    pub watchers: usize,
    /// The maximum number of updates on other entries in a regular heartbeat.
    pub updates: usize,
    /// The data centres.
    pub data_centres: Vec<DataCentreSite>,
    /// The rules in force. All are, except in tests that show what each rule prevents.
    #[doc(hidden)]
    pub rules: Rules,
}

/// Rules that tests switch off to show that their checks detect the resulting faults.
#[doc(hidden)]
#[value]
pub struct Rules {
    /// An entry refutes wrong updates about itself.
    pub refute: bool,
    /// An observer that was paused does not suspect others of silence during its own pause.
    pub detect_own_pause: bool,
    /// Only updates that override the known one are adopted.
    pub order_updates: bool,
}

impl Rules {
    /// All rules.
    pub const ALL: Rules = Rules {
        refute: true,
        detect_own_pause: true,
        order_updates: true,
    };
}

impl Settings {
    /// Returns a builder with two heartbeat rounds per second and the other defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the site of a data centre by its name in the VM list, or [`Site::UNKNOWN`].
    pub fn site(&self, name: &str) -> Site {
        let data_centre = self
            .data_centres
            .iter()
            .find(|data_centre| data_centre.name == name);
        data_centre.map_or(Site::UNKNOWN, |data_centre| data_centre.site)
    }
}

/// Builds [`Settings`].
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
                data_centres: Vec::new(),
                rules: Rules::ALL,
            },
        }
    }
}

impl Builder {
    /// Sets the time between two rounds of heartbeats.
    pub fn interval(mut self, span: Duration) -> Builder {
        self.settings.interval = span;
        self
    }

    /// Sets how long an entry sends no heartbeat before it is suspected.
    pub fn suspect_after(mut self, span: Duration) -> Builder {
        self.settings.suspect_after = span;
        self
    }

    /// Sets how long an entry is suspected before it counts as dead.
    pub fn dead_after(mut self, span: Duration) -> Builder {
        self.settings.dead_after = span;
        self
    }

    /// Sets the number of neighbours that watch an entry.
    pub fn watchers(mut self, count: usize) -> Builder {
        self.settings.watchers = count;
        self
    }

    /// Sets the maximum number of updates in a regular heartbeat.
    pub fn updates(mut self, count: usize) -> Builder {
        self.settings.updates = count;
        self
    }

    /// Sets the data centres.
    pub fn data_centres(mut self, data_centres: Vec<DataCentreSite>) -> Builder {
        self.settings.data_centres = data_centres;
        self
    }

    /// Sets the rules in force.
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
