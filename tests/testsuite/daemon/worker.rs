//! Workers whose responses are lost, that fail or that are unreachable.

use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::{Faults, ResponseLoss};
use laburnumplank::api::schema::{JobClass, JobState, JobStatus};

use super::job::{check_workers, spec};
use super::{cell, client, run, submit, watch};

/// The number of the first worker VM of a test cell.
const FIRST_WORKER: u32 = 1_001;

#[test]
fn lost_response_of_start_runs_task_once() {
    run(async {
        let cell = cell().workers(4).start().await.unwrap();
        let workers = &cell.platform.workers.client;
        let answer_lost = ResponseLoss::Next(1);
        let faults = Faults {
            answer_lost,
            ..Faults::default()
        };
        for index in 0..4 {
            workers
                .set_faults(Role::Worker, index, &faults)
                .await
                .unwrap();
        }
        let client = client(&cell, 0);
        let id = submit(&client, spec(JobClass::Batch, 4, "sleep 1500"))
            .await
            .unwrap();
        watch(&client, &id, |job| job.state() == JobState::Succeeded).await;
        let mut started = 0;
        for index in 0..4 {
            started += workers.worker_counts(index).await.unwrap().started;
        }
        assert_eq!(started, 4);
        check_workers(&cell).await;
    });
}

#[test]
fn broken_worker_fails_no_job() {
    run(async {
        let cell = cell().workers(4).start().await.unwrap();
        let workers = &cell.platform.workers.client;
        let faults = Faults {
            broken: true,
            ..Faults::default()
        };
        workers.set_faults(Role::Worker, 0, &faults).await.unwrap();
        let client = client(&cell, 0);
        let mut jobs = Vec::new();
        for _ in 0..12 {
            jobs.push(
                submit(&client, spec(JobClass::Batch, 1, "sleep 300"))
                    .await
                    .unwrap(),
            );
        }
        for id in jobs {
            watch(&client, &id, |job| job.state() == JobState::Succeeded).await;
        }
        check_workers(&cell).await;
    });
}

#[test]
fn down_worker_neither_loses_nor_repeats_tasks() {
    run(async {
        let cell = cell().workers(4).start().await.unwrap();
        let workers = &cell.platform.workers.client;
        let client = client(&cell, 0);
        let id = submit(&client, spec(JobClass::Service, 8, "forever"))
            .await
            .unwrap();
        let is_running = |job: &JobStatus| job.tasks.iter().all(|task| task.state == "running");
        let before = watch(&client, &id, is_running).await;
        let lost = before.tasks[0].worker;
        let index = (lost - FIRST_WORKER) as usize;
        let faults = Faults {
            down: true,
            ..Faults::default()
        };
        workers
            .set_faults(Role::Worker, index, &faults)
            .await
            .unwrap();
        let is_moved =
            |job: &JobStatus| is_running(job) && job.tasks.iter().all(|task| task.worker != lost);
        watch(&client, &id, is_moved).await;
        check_workers(&cell).await;
    });
}
