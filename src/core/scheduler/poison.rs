//! Tells tasks that crash their workers from tasks that were there when a worker crashed.
//!
//! The load that this answers: one task in a thousand ends the worker process within moments of its
//! start, whichever worker that is. It was started again and again, and each time the worker's other
//! tasks, up to eight, lost their work. Most tasks that see a crash are innocent: they share the worker
//! with such a task, or a rack has failed, or all workers crash at the same time.
//!
//! A crash counts only for runs that had not outlived [`SURVIVAL`]; a task that crashes its worker later
//! is not recognized. From the second crash on a task is suspect, and each further start is a trial: it
//! runs alone, so that nothing else is lost, and so that the outcome speaks of this task only. A run that
//! survives, or that its worker reports as done or failed, clears the task. Two trials convict it if a
//! worker is known to have crashed in one of them; a single crash could be that of a rack. Without such
//! evidence, the task is convicted once as many starts as are allowed may have crashed a worker.
//!
//! Owners follow each other, and an end that one owner did not see is unknown to the next. Therefore each
//! start after the first crash is recorded in the log, with all crashes so far. Such a start counts as a
//! possible crash until its end is known. A recorded start may never have been sent: it is forgotten if all
//! workers were still there when the next owner took over. Starts before the first crash are not recorded.
//! Instead each change of the owner at which a worker was gone counts as one possible crash of each task of
//! the jobs accepted before.
//!
//! A trial waits until its record is in the log. The start before, after a single crash, does not: most such
//! tasks are innocent. If the owner ends before the record is there, the next one does not know of it.

use std::time::Duration;

use laburnum_derive::{message, state, value};

use super::id::{Mark, Run, Token};
use crate::core::time::{Instant, Stamp};

/// A run that was still reported this long after its start has outlived what its start may cause.
/// Workers report at least once a second.
pub const SURVIVAL: Duration = Duration::from_secs(3);
/// The number of crashes that make a task suspect.
const SUSPECT_CRASHES: usize = 2;
/// The number of crashes in trials that convict a task, if one of them is certain.
const CONVICTING_CRASHES: usize = 2;
/// The number of starts that may have crashed a worker after which a task is not started again. The
/// platform allows two starts after the third crash.
const MAX_POSSIBLE_CRASHES: usize = 5;
/// How long a suspect waits for an empty worker. After that it runs beside others: in a full cell no
/// worker may become empty, and a suspect is innocent more often than not.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// The end of a worker under a run.
#[message]
pub struct Crash {
    /// The run. Owners that see the same crash count it once.
    pub run: Run,
    /// The worker's name.
    pub worker: String,
    /// The incarnation that ended.
    pub incarnation: u64,
    /// The time of day when the owner learned of it.
    pub at: Stamp,
    /// Whether the incarnation is known to have ended unasked, with the run there. Otherwise the worker
    /// may only have been silent, or the start command may not have arrived.
    pub is_certain: bool,
}

/// What is recorded of a task in the log.
#[message]
#[derive(Default)]
pub struct Record {
    /// The crashes since the task was last cleared.
    pub crashes: Vec<Crash>,
    /// The trials that were granted and did not end harmlessly. Versions that do not know `starts` count
    /// with it.
    pub trials: u32,
    /// The owners that granted the starts without a known end, one for each start. Records of versions
    /// that counted trials only have none.
    #[serde(default)]
    pub starts: Vec<Token>,
    /// The number of starts before the first crash whose ends no owner may have seen.
    #[serde(default)]
    pub unseen: usize,
}

impl Record {
    /// Adds the starts that a version without `starts` has counted as trials only.
    fn complete(mut self) -> Record {
        let in_trials = self.crashes.len().saturating_sub(SUSPECT_CRASHES);
        let open = (self.trials as usize).saturating_sub(in_trials);
        if self.starts.len() < open {
            self.starts.resize(open, Token::default());
        }
        self
    }

    /// Returns the number of starts that may have crashed a worker.
    fn possible_crashes(&self) -> usize {
        self.crashes.len() + self.unseen + self.starts.len()
    }

    /// Removes a start that has certainly crashed no worker.
    fn forget_start(&mut self, granter: Token) {
        let index = self.starts.iter().position(|&other| other == granter);
        if let Some(index) = index {
            self.starts.remove(index);
            self.trials = self.trials.saturating_sub(1);
        }
    }
}

/// What the crashes say of a task.
#[value]
pub enum Verdict {
    /// The task may be placed like any other.
    Unsuspected,
    /// The task runs alone.
    Suspect,
    /// The task is not started again.
    Convicted,
}

impl Verdict {
    /// Returns the name that log lines and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Unsuspected => "unsuspected",
            Verdict::Suspect => "suspect",
            Verdict::Convicted => "convicted",
        }
    }
}

/// The crashes of workers under the runs of a task. The first task of a gang has those of the whole gang.
#[state]
#[derive(Default)]
pub struct CrashHistory {
    record: Record,
    /// The mark of the record with a start that was not sent.
    granted: Option<Mark>,
    /// The run of the recorded start that was sent and has not ended.
    active: Option<Run>,
    /// Since when the task could have begun a trial.
    ready_since: Option<Instant>,
}

impl CrashHistory {
    /// Restores the history from the log.
    pub fn restore(record: Record) -> CrashHistory {
        CrashHistory {
            record: record.complete(),
            ..CrashHistory::default()
        }
    }

    /// Returns what the log has to contain.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Whether no crash is counted.
    pub fn is_empty(&self) -> bool {
        self.record.crashes.is_empty()
    }

    /// Counts a crash under a run of the owner `starter`. `unseen` is the number of earlier starts whose
    /// ends no owner may have seen. Returns whether the crash was not counted before.
    pub fn add(&mut self, crash: Crash, starter: Token, unseen: usize) -> bool {
        let Record {
            crashes,
            starts,
            unseen: known_unseen,
            ..
        } = &mut self.record;
        if crashes.iter().any(|known| known.run == crash.run) {
            return false;
        }
        if crashes.is_empty() {
            *known_unseen = unseen;
        }
        if let Some(index) = starts.iter().position(|&granter| granter == starter) {
            starts.remove(index);
        }
        crashes.push(crash);
        self.granted = None;
        self.active = None;
        true
    }

    /// Withdraws the crash of a worker under a run, since the worker has reported the end of the run after
    /// all. Returns whether one was counted.
    pub fn withdraw(&mut self, run: Run, worker: &str, incarnation: u64) -> bool {
        let is_same = |crash: &Crash| {
            crash.run == run && crash.worker == worker && crash.incarnation == incarnation
        };
        let crashes = &mut self.record.crashes;
        let Some(index) = crashes.iter().position(is_same) else {
            return false;
        };
        crashes.remove(index);
        if index >= SUSPECT_CRASHES {
            self.record.trials = self.record.trials.saturating_sub(1);
        }
        if self.is_empty() {
            *self = CrashHistory::default();
        }
        true
    }

    /// Returns what the crashes so far say of the task.
    pub fn verdict(&self) -> Verdict {
        if !self.is_suspect() {
            Verdict::Unsuspected
        } else if self.is_proven() || self.is_exhausted() {
            Verdict::Convicted
        } else {
            Verdict::Suspect
        }
    }

    /// Whether the task is placed alone.
    pub fn is_suspect(&self) -> bool {
        self.record.crashes.len() >= SUSPECT_CRASHES
    }

    /// Whether the crashes alone convict the task, whatever has become of starts without a known end.
    pub fn is_proven(&self) -> bool {
        let crashes = &self.record.crashes;
        let mut in_trials = crashes.iter().skip(SUSPECT_CRASHES);
        let is_certain = in_trials.any(|crash| crash.is_certain);
        let is_convicting = is_certain && crashes.len() >= SUSPECT_CRASHES + CONVICTING_CRASHES;
        is_convicting || crashes.len() + self.record.unseen >= MAX_POSSIBLE_CRASHES
    }

    /// Whether all starts were used and none of them goes on.
    fn is_exhausted(&self) -> bool {
        let is_over = self.granted.is_none() && self.active.is_none();
        is_over && self.record.possible_crashes() >= MAX_POSSIBLE_CRASHES
    }

    /// Returns the mark of the record with a start that was not sent.
    pub fn granted(&self) -> Option<Mark> {
        self.granted
    }

    /// Counts a start that `granter` may send once the record with it is in the log.
    pub fn count_start(&mut self, granter: Token) {
        self.record.starts.push(granter);
        self.record.trials += u32::from(self.is_suspect());
    }

    /// Stores the mark of the record that contains the last start.
    pub fn grant(&mut self, mark: Mark) {
        self.granted = Some(mark);
    }

    /// Begins the granted start, or continues one of an earlier owner.
    pub fn begin(&mut self, run: Run) {
        self.granted = None;
        self.active = Some(run);
        self.ready_since = None;
    }

    /// Ends a recorded start of the owner `starter` that has shown nothing. The present `owner` may send
    /// its own again.
    pub fn return_start(&mut self, run: Run, starter: Token, owner: Token) {
        if self.active != Some(run) {
            return;
        }
        self.active = None;
        if starter == owner {
            // The record of the start is in the log already.
            self.granted = Some(Mark(0));
        } else {
            self.record.forget_start(starter);
        }
    }

    /// Forgets the starts granted by the owners for which `is_harmless` holds.
    pub fn forget_starts(&mut self, is_harmless: impl Fn(Token) -> bool) {
        for granter in self.record.starts.clone() {
            if is_harmless(granter) {
                self.record.forget_start(granter);
            }
        }
    }

    /// Returns how long the task could have begun a trial, from the first call on.
    pub fn waited(&mut self, now: Instant) -> Duration {
        now.since(*self.ready_since.get_or_insert(now))
    }
}
