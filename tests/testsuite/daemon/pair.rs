//! An entry is killed while a service of the platform fails.

use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::{Faults, ResponseLoss};
use laburnumplank::api::schema::{JobClass, JobState};

use super::fault::{make_progress, owner_of_last_partition, set_log_faults};
use super::job::{check_workers, spec};
use super::load::Load;
use super::{cell, client, run, submit, watch};

/// How many load tasks keep the cell busy.
const LOAD_TASKS: usize = 8;

#[test]
fn kill_of_owner_while_log_loses_responses_repeats_nothing() {
    run(async {
        let mut cell = cell().start().await.unwrap();
        let batch = submit(&client(&cell, 0), spec(JobClass::Batch, 40, "sleep 700"))
            .await
            .unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "sleep/30");
        make_progress(&load, 30).await;
        let owner = owner_of_last_partition(&cell).await;
        let losing = Faults {
            answer_lost: ResponseLoss::Next(60),
            ..Faults::default()
        };
        set_log_faults(&cell, &losing).await;
        cell.entries[owner].process.kill().unwrap();
        let other = client(&cell, (owner + 1) % 3);
        watch(&other, &batch, |job| job.state() == JobState::Succeeded).await;
        set_log_faults(&cell, &Faults::default()).await;
        cell.restart(owner).unwrap();
        cell.wait_until_ready(owner).await.unwrap();
        make_progress(&load, 50).await;
        load.check(&cell).await;
        check_workers(&cell).await;
    });
}

#[test]
fn kill_of_owner_while_vm_list_is_down_repeats_nothing() {
    run(async {
        let mut cell = cell().start().await.unwrap();
        let batch = submit(&client(&cell, 0), spec(JobClass::Batch, 40, "sleep 700"))
            .await
            .unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "sleep/30");
        make_progress(&load, 30).await;
        let owner = owner_of_last_partition(&cell).await;
        let down = Faults {
            down: true,
            ..Faults::default()
        };
        let vms = cell.platform.vms.client.clone();
        vms.set_faults(Role::Vms, 0, &down).await.unwrap();
        cell.entries[owner].process.kill().unwrap();
        let other = client(&cell, (owner + 1) % 3);
        watch(&other, &batch, |job| job.state() == JobState::Succeeded).await;
        make_progress(&load, 30).await;
        vms.set_faults(Role::Vms, 0, &Faults::default())
            .await
            .unwrap();
        cell.restart(owner).unwrap();
        cell.wait_until_ready(owner).await.unwrap();
        make_progress(&load, 50).await;
        load.check(&cell).await;
        check_workers(&cell).await;
    });
}
