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
//! worker is known to have crashed in one of them; a single crash could be that of a rack. Whatever the
//! evidence, the third trial is the last.
//!
//! A trial is recorded in the log before it starts, with all crashes so far. A later owner therefore
//! grants no more trials, also if nobody saw how the last one ended. The first crash is
//! recorded too, but the next start does not wait for it: an innocent task must not wait for a log that
//! is away, and what is lost at a takeover is one crash.

use std::time::Duration;

use laburnum_derive::{message, state, value};

use super::id::{Mark, Run};
use crate::core::time::{Instant, Stamp};

/// A run that was still reported this long after its start has outlived what its start may cause.
/// Workers report at least once a second.
pub const SURVIVAL: Duration = Duration::from_secs(3);
/// The number of crashes that make a task suspect.
const SUSPECT_CRASHES: usize = 2;
/// The number of trials without a harmless end that convict a task, if one of them has certainly crashed
/// its worker. It leaves room for a crash that no owner saw: the platform allows two starts after the
/// third crash.
const MAX_TRIALS: u32 = 2;
/// The same if none of them has.
const MAX_UNCERTAIN_TRIALS: u32 = 3;
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
    /// The trials that were granted.
    pub trials: u32,
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
    /// The mark of the record with a trial that has not begun.
    granted: Option<Mark>,
    /// The run of the trial that has begun and not ended.
    trial: Option<Run>,
    /// Since when the task could have begun a trial.
    ready_since: Option<Instant>,
}

impl CrashHistory {
    /// Restores the history from the log.
    pub fn restore(record: Record) -> CrashHistory {
        CrashHistory {
            record,
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

    /// Counts a crash. Returns whether it was not counted before.
    pub fn add(&mut self, crash: Crash) -> bool {
        let crashes = &mut self.record.crashes;
        if crashes.iter().any(|known| known.run == crash.run) {
            return false;
        }
        crashes.push(crash);
        self.granted = None;
        self.trial = None;
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

    /// Whether the crashes alone convict the task, whatever has become of trials without a known end.
    pub fn is_proven(&self) -> bool {
        let in_trials = self.record.crashes.len().saturating_sub(SUSPECT_CRASHES);
        in_trials >= self.max_trials() as usize
    }

    /// Whether all trials were used and none of them goes on.
    fn is_exhausted(&self) -> bool {
        let is_over = self.granted.is_none() && self.trial.is_none();
        is_over && self.record.trials >= self.max_trials()
    }

    fn max_trials(&self) -> u32 {
        let mut in_trials = self.record.crashes.iter().skip(SUSPECT_CRASHES);
        if in_trials.any(|crash| crash.is_certain) {
            MAX_TRIALS
        } else {
            MAX_UNCERTAIN_TRIALS
        }
    }

    /// Returns the mark of the record with a trial that has not begun.
    pub fn granted(&self) -> Option<Mark> {
        self.granted
    }

    /// Counts a trial, which may begin once the record with it is in the log.
    pub fn count_trial(&mut self) {
        self.record.trials += 1;
    }

    /// Stores the mark of the record that contains the last trial.
    pub fn grant(&mut self, mark: Mark) {
        self.granted = Some(mark);
    }

    /// Begins the granted trial, or continues one of an earlier owner.
    pub fn begin_trial(&mut self, run: Run) {
        self.granted = None;
        self.trial = Some(run);
        self.ready_since = None;
    }

    /// Ends a trial that has shown nothing; it may be made again.
    pub fn return_trial(&mut self, run: Run) {
        if self.trial == Some(run) {
            self.trial = None;
            // The record of the trial is in the log already.
            self.granted = Some(Mark(0));
        }
    }

    /// Returns how long the task could have begun a trial, from the first call on.
    pub fn waited(&mut self, now: Instant) -> Duration {
        now.since(*self.ready_since.get_or_insert(now))
    }
}
