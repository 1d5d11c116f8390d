//! A generated mix of jobs whose declared run times differ from the real ones.

use std::time::Duration;

use laburnumplank::core::id::{self, DataCentre, Family, Rack, Team};
use laburnumplank::core::placement::{Job, Worker};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::workload::Class;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use uuid::Uuid;

/// The spread of the factor by which declared run times are off: the standard deviation of its
/// natural logarithm.
const DECLARATION_SIGMA: f64 = 1.2;

/// Workers per rack.
const WORKERS_PER_RACK: u32 = 8;

/// How many job families each class has.
const FAMILIES: u32 = 8;

/// How many teams there are.
const TEAMS: u32 = 6;

/// A job, the time of its arrival and the real run time of its tasks.
#[derive(Clone, Debug)]
pub(super) struct Planned {
    pub(super) job: Job,
    pub(super) at: Duration,
    pub(super) runs_for: Duration,
}

/// The workers of one site.
#[derive(Clone, Copy, Debug)]
pub(super) struct Site {
    pub(super) name: &'static str,
    pub(super) workers: u32,
    pub(super) size: Amount,
    /// Accelerators of each worker with an odd number; the others have none.
    pub(super) accelerators: u64,
}

/// The current workers of the site Kerdréan.
pub(super) const KERDREAN: Site = Site {
    name: "Kerdréan",
    workers: 50,
    size: amount(16_000, 64 * 1_024, 0),
    accelerators: 0,
};

/// The current workers of the site ASRC.
pub(super) const ASRC: Site = Site {
    name: "ASRC",
    workers: 50,
    size: amount(32_000, 64 * 1_024, 0),
    accelerators: 4,
};

/// Makes an amount.
pub(super) const fn amount(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Amount {
    Amount {
        cpu_millis,
        memory_mib,
        accelerators,
    }
}

impl Site {
    /// Returns the same site with another number of workers.
    pub(super) const fn with_workers(self, workers: u32) -> Site {
        Site { workers, ..self }
    }

    /// Returns the workers.
    pub(super) fn list(self) -> impl Iterator<Item = Worker> {
        (0..self.workers).map(move |number| self.worker(number))
    }

    fn worker(self, number: u32) -> Worker {
        let accelerators = u64::from(number % 2) * self.accelerators;
        Worker {
            id: id::Worker(number),
            rack: Rack(number / WORKERS_PER_RACK),
            data_centre: DataCentre((number / WORKERS_PER_RACK % 3) as u16),
            size: Amount {
                accelerators,
                ..self.size
            },
        }
    }

    /// Returns the capacity of all workers together.
    pub(super) fn total(self) -> Amount {
        self.list()
            .fold(Amount::default(), |sum, worker| sum + worker.size)
    }
}

/// Draws jobs.
pub(super) struct Generator {
    random: Pcg64Mcg,
    number: u64,
    has_accelerators: bool,
}

impl Generator {
    /// Makes a generator for a site.
    pub(super) fn new(site: Site, seed: u64) -> Generator {
        Generator {
            random: Pcg64Mcg::seed_from_u64(seed),
            number: 0,
            has_accelerators: site.accelerators > 0,
        }
    }

    /// Draws a job of the mix: nine in twenty are urgent, two are gangs and nine are batch jobs.
    pub(super) fn mixed(&mut self, at: Duration) -> Planned {
        match self.random.random_range(0..20) {
            0..9 => self.urgent(at),
            9..11 => self.gang(at),
            _ => self.batch(at),
        }
    }

    /// Draws an urgent job of one short task.
    pub(super) fn urgent(&mut self, at: Duration) -> Planned {
        let size = amount(self.pick(&[500, 1_000]), self.pick(&[512, 1_024, 2_048]), 0);
        let runs_for = Duration::from_millis(self.random.random_range(500..5_000));
        self.plan(Class::Urgent, 1, size, at, runs_for)
    }

    /// Draws a service, which runs until the end of the measurement.
    pub(super) fn service(&mut self) -> Planned {
        let size = amount(
            self.pick(&[1_000, 2_000, 4_000]),
            self.pick(&[2_048, 4_096, 8_192]),
            0,
        );
        let tasks = self.random.random_range(2..7);
        let forever = Duration::from_secs(1_000_000);
        self.plan(Class::Service, tasks, size, Duration::ZERO, forever)
    }

    /// Draws a gang.
    fn gang(&mut self, at: Duration) -> Planned {
        let accelerators = u64::from(self.has_accelerators && self.random.random_bool(0.5));
        let size = amount(
            self.pick(&[2_000, 4_000, 8_000]),
            self.pick(&[4_096, 8_192, 16_384]),
            accelerators,
        );
        let tasks = self.random.random_range(4..13);
        let runs_for = self.log_normal(Duration::from_secs(120), 0.7);
        self.plan(Class::Gang, tasks, size, at, runs_for)
    }

    /// Draws a batch job.
    pub(super) fn batch(&mut self, at: Duration) -> Planned {
        let size = amount(
            self.pick(&[500, 1_000, 2_000, 4_000, 8_000]),
            self.pick(&[1_024, 2_048, 4_096, 8_192, 24_576]),
            0,
        );
        let tasks = self.random.random_range(1..21);
        let runs_for = self.log_normal(Duration::from_secs(60), 0.8);
        self.plan(Class::Batch, tasks, size, at, runs_for)
    }

    fn plan(
        &mut self,
        class: Class,
        tasks: u32,
        size: Amount,
        at: Duration,
        runs_for: Duration,
    ) -> Planned {
        let number = self.number;
        self.number += 1;
        let family = Family(format!(
            "{class:?}-{}",
            self.random.random_range(0..FAMILIES)
        ));
        let team = Team(format!("team-{}", self.random.random_range(0..TEAMS)));
        let declared = self.log_normal(runs_for, DECLARATION_SIGMA);
        let job = Job::builder(job_id(number), team, class, size)
            .tasks(tasks)
            .family(family)
            .run_time(declared)
            .gang_timeout(Duration::from_secs(30))
            .build();
        Planned { job, at, runs_for }
    }

    fn pick(&mut self, choices: &[u64]) -> u64 {
        choices[self.random.random_range(0..choices.len())]
    }

    /// Draws a log-normally distributed span with the given median. `sigma` is the standard deviation
    /// of its natural logarithm.
    fn log_normal(&mut self, median: Duration, sigma: f64) -> Duration {
        const DRAWS: u32 = 12;
        let sum: f64 = (0..DRAWS).map(|_| self.random.random::<f64>()).sum();
        let normal = sum - f64::from(DRAWS) / 2.0;
        median.mul_f64((normal * sigma).exp())
    }
}

/// Returns the id of the job of this number.
pub(super) fn job_id(number: u64) -> id::Job {
    const VERSION_7: u128 = 0x7 << 76;
    const VARIANT: u128 = 0x2 << 62;
    id::Job(Uuid::from_u128(
        (1 << 80) | VERSION_7 | VARIANT | u128::from(number),
    ))
}

/// Generates services that hold a fifth of the site's bottleneck resource, and jobs over `span` that
/// bring the load of that resource up to `load`. A burst of a fifth of the jobs arrives within one
/// tenth of the span.
pub(super) fn mixed(site: Site, load: f64, span: Duration, seed: u64) -> Vec<Planned> {
    const SERVICE_SHARE: f64 = 0.2;
    let mut generator = Generator::new(site, seed);
    let mut plans = Vec::new();
    let total = site.total();
    let mut held = Amount::default();
    while share(held, total) < SERVICE_SHARE {
        let plan = generator.service();
        held += plan.job.size.times(u64::from(plan.job.tasks));
        plans.push(plan);
    }
    let mut work = 0.0;
    while work < (load - SERVICE_SHARE) * span.as_secs_f64() {
        let mut plan = generator.mixed(Duration::ZERO);
        let share = share(plan.job.size.times(u64::from(plan.job.tasks)), total);
        work += share * plan.runs_for.as_secs_f64();
        plan.at = generator.arrival(span);
        plans.push(plan);
    }
    plans.sort_by_key(|plan| plan.at);
    plans
}

impl Generator {
    /// Draws a time of arrival within `span`, in the burst or outside it.
    fn arrival(&mut self, span: Duration) -> Duration {
        const BURST_SHARE: f64 = 0.2;
        const BURST_BEGIN: f64 = 0.5;
        const BURST_LENGTH: f64 = 0.1;
        let draw: f64 = self.random.random();
        let at = match self.random.random_bool(BURST_SHARE) {
            true => BURST_BEGIN + draw * BURST_LENGTH,
            false => draw,
        };
        span.mul_f64(at)
    }
}

/// Returns the share of `whole` that `part` takes: that of processors or of memory, the larger one.
pub(super) fn share(part: Amount, whole: Amount) -> f64 {
    let processors = part.cpu_millis as f64 / whole.cpu_millis as f64;
    let memory = part.memory_mib as f64 / whole.memory_mib as f64;
    processors.max(memory)
}
