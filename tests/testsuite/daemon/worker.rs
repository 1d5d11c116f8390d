//! Workers whose answers are lost.

use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::{Faults, Loss};
use laburnumplank::api::schema::{JobClass, JobState};

use super::job::{check_workers, spec};
use super::{cell, client, run, submit, watch};

#[test]
fn lost_answer_of_start_runs_task_once() {
    run(async {
        let cell = cell().workers(4).start().await.unwrap();
        let workers = &cell.platform.workers.client;
        let answer_lost = Loss::Next(1);
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
