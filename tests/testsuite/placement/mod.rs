//! Tests of placement: a simulated platform with an oracle, fuzz tests on it, and focused cases.

mod case;
mod fake;
mod fuzz;
mod oracle;
mod switch;
mod world;

use std::time::Duration;

use laburnumplank::core::id::{self, DataCentre, Rack, Team};
use laburnumplank::core::placement::job::Builder;
use laburnumplank::core::placement::{Job, Tuning, Worker};
use laburnumplank::core::resource::Amount;
use laburnumplank::core::workload::Class;
use uuid::Uuid;

/// Returns settings with short time spans, so that a case covers many of them.
fn tuning() -> Tuning {
    Tuning {
        task_lease: Duration::from_millis(4_000),
        renew_every: Duration::from_millis(1_000),
        flight: Duration::from_millis(500),
        margin: Duration::from_millis(200),
        inventory_every: Duration::from_millis(300),
        silence: Duration::from_millis(1_500),
        commit_every: Duration::from_millis(20),
        replace_per_second: 100,
        reserve_after: Duration::from_millis(2_000),
        reserve_timeout: Duration::from_millis(10_000),
        return_after: Duration::from_millis(1_000),
        borrow_delay: Duration::from_millis(2_000),
        checkpoint_grace: Duration::from_millis(500),
        overrun_grace: Duration::from_millis(1_000),
        quarantine: Duration::from_millis(2_000),
        ..Tuning::default()
    }
}

const fn amount(cpu_millis: u64, memory_mib: u64, accelerators: u64) -> Amount {
    Amount {
        cpu_millis,
        memory_mib,
        accelerators,
    }
}

fn job_id(number: u64) -> id::Job {
    const VERSION_7: u128 = 0x7 << 76;
    const VARIANT: u128 = 0x2 << 62;
    id::Job(Uuid::from_u128(
        (1 << 80) | VERSION_7 | VARIANT | u128::from(number),
    ))
}

fn job(number: u64, team: &str, class: Class, size: Amount) -> Builder {
    Job::builder(job_id(number), Team(team.to_owned()), class, size)
}

/// Returns a worker in a rack of two workers, in one of two data centres.
fn worker(number: u32, size: Amount) -> Worker {
    Worker {
        id: id::Worker(number),
        rack: Rack(number / 2),
        data_centre: DataCentre((number % 2) as u16),
        size,
    }
}
