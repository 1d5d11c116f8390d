//! The oracle: invariants, checked against the tasks that workers actually run.

use std::collections::{BTreeMap, BTreeSet};

use laburnumplank::core::id::{self, Task, Team};
use laburnumplank::core::placement::{Output, Stage};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::workload::Class;

use super::world::World;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Violation {
    /// A worker runs more than its size.
    OverCommitted(id::Worker),
    /// Two attempts of a task run at the same time.
    RunsTwice(Task),
    /// A team's running tasks exceed its ceiling.
    AboveCeiling(Team),
    /// A task runs although its job's end is in the log.
    RunsAfterEnd(Task),
    /// A job's end was emitted twice, or differs from the end in the log.
    TwoEnds(id::Job),
    /// The cell does not know an accepted job.
    Forgotten(id::Job),
    /// A job has not ended after all faults ended; with the status of each such job.
    Unfinished(id::Job, String),
}

impl World {
    /// Returns a violated invariant, if any.
    pub(crate) fn check(&self) -> Option<Violation> {
        let mut tasks = BTreeSet::new();
        let mut teams: BTreeMap<&Team, Amount> = BTreeMap::new();
        for (id, fake) in &self.workers {
            let mut sum = Amount::default();
            for (task, size) in fake.running(self.now) {
                sum += size;
                *teams.entry(&self.teams[&task.job]).or_default() += size;
                if !tasks.insert(task) {
                    return Some(Violation::RunsTwice(task));
                }
                if self.ends.contains_key(&task.job) {
                    return Some(Violation::RunsAfterEnd(task));
                }
            }
            if !sum.fits(fake.worker.size) {
                return Some(Violation::OverCommitted(*id));
            }
        }
        self.check_teams(&teams).or_else(|| self.check_jobs())
    }

    fn check_teams(&self, teams: &BTreeMap<&Team, Amount>) -> Option<Violation> {
        if self.now < self.quota_from {
            return None;
        }
        let is_above = |team: &Team, held: &Amount| {
            let quota = self.settings.quotas.get(team);
            quota.is_some_and(|quota| !held.fits(quota.ceiling))
        };
        let above = teams.iter().find(|(team, held)| is_above(team, held));
        above.map(|(team, _)| Violation::AboveCeiling((*team).clone()))
    }

    fn check_jobs(&self) -> Option<Violation> {
        let cell = self.cell.as_ref()?;
        for job in self.behaviours.keys() {
            match (
                cell.job(*job).map(|status| status.stage),
                self.ends.get(job),
            ) {
                (None, _) => return Some(Violation::Forgotten(*job)),
                (Some(Stage::Ended(end)), Some(&written)) if end != written => {
                    return Some(Violation::TwoEnds(*job));
                }
                (Some(Stage::Ended(_)), None) => return Some(Violation::TwoEnds(*job)),
                _ => {}
            }
        }
        self.check_ends()
    }

    /// Checks that the cell emitted the end of each job at most once.
    fn check_ends(&self) -> Option<Violation> {
        let mut ended = BTreeSet::new();
        for notice in &self.notices {
            if let Output::Ended { job, .. } = notice
                && !ended.insert(*job)
            {
                return Some(Violation::TwoEnds(*job));
            }
        }
        None
    }

    pub(super) fn check_finished(&self) -> Option<Violation> {
        let cell = self.cell.as_ref()?;
        let mut unfinished = None;
        for status in cell.jobs() {
            let is_up =
                status.class == Class::Service && status.live + status.succeeded == status.tasks;
            if !is_up {
                let why = format!("{status:?} {:?}", cell.explain(status.id));
                let (_, all) = unfinished.get_or_insert((status.id, String::new()));
                all.push_str(&why);
            }
        }
        unfinished.map(|(job, why)| Violation::Unfinished(job, why))
    }
}
