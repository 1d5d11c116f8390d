use laburnum_testkit::cell::Cell;
use laburnumplank::api::schema::{
    Amount, CancelJobRequest, CancelJobResponse, ExplainJobRequest, ExplainJobResponse, JobClass,
    JobSpec, JobState, SubmitJobRequest, SubmitJobResponse,
};
use laburnumplank::core::error::Kind;
use uuid::Uuid;

use super::{cell, client, eventually, job, run, submit, watch};

/// Returns a job of small tasks.
pub(crate) fn spec(class: JobClass, tasks: u32, command: &str) -> JobSpec {
    JobSpec {
        class: class.into(),
        team: "bars".to_owned(),
        tasks,
        size: Some(Amount {
            cpu_millis: 1_000,
            memory_mib: 512,
            accelerators: 0,
        }),
        command: command.to_owned(),
        run_time_ms: 1_000,
        ..JobSpec::default()
    }
}

/// Checks that no worker exceeded its capacity and that no task ran twice at the same time.
pub(crate) async fn check_workers(cell: &Cell) {
    for worker in 0..cell.platform.workers.addresses.len() {
        let violations = cell
            .platform
            .workers
            .client
            .violations(worker)
            .await
            .unwrap();
        assert!(violations.is_empty(), "worker {worker}: {violations:?}");
    }
    let overlaps = cell.task_overlaps().await.unwrap();
    assert!(overlaps.is_empty(), "{overlaps:?}");
}

/// Returns how many tasks all workers have started in total.
pub(crate) async fn started(cell: &Cell) -> u64 {
    let workers = &cell.platform.workers;
    let mut started = 0;
    for worker in 0..workers.addresses.len() {
        let counts = workers.client.worker_counts(worker).await.unwrap();
        started += counts.started;
    }
    started
}

#[test]
fn submit_of_each_class_reaches_its_state() {
    run(async {
        let cell = cell().start().await.unwrap();
        let service = submit(&client(&cell, 0), spec(JobClass::Service, 2, "forever"))
            .await
            .unwrap();
        let gang = submit(&client(&cell, 1), spec(JobClass::Gang, 4, "sleep 300"))
            .await
            .unwrap();
        let batch = submit(&client(&cell, 2), spec(JobClass::Batch, 20, "sleep 100"))
            .await
            .unwrap();
        let failing = submit(&client(&cell, 0), spec(JobClass::Urgent, 1, "fail 10"))
            .await
            .unwrap();
        for (id, state) in [
            (&gang, JobState::Succeeded),
            (&batch, JobState::Succeeded),
            (&failing, JobState::Failed),
        ] {
            watch(&client(&cell, 1), id, |job| job.state() == state).await;
        }
        let is_running =
            |job: &super::JobStatus| job.tasks.iter().all(|task| task.state == "running");
        watch(&client(&cell, 1), &service, is_running).await;
        let cancel = CancelJobRequest {
            job_id: service.clone(),
        };
        for entry in 0..3 {
            let _: CancelJobResponse = client(&cell, entry)
                .call("Caller", "CancelJob", &cancel)
                .await
                .unwrap();
        }
        watch(&client(&cell, 2), &service, |job| {
            job.state() == JobState::Cancelled
        })
        .await;
        check_workers(&cell).await;
    });
}

#[test]
fn submit_with_repeated_key_is_one_job() {
    run(async {
        let cell = cell().start().await.unwrap();
        let request = SubmitJobRequest {
            key: Uuid::now_v7().to_string(),
            spec: Some(spec(JobClass::Batch, 3, "sleep 200")),
        };
        for entry in [0, 1, 2, 0] {
            let response: SubmitJobResponse = client(&cell, entry)
                .call("Caller", "SubmitJob", &request)
                .await
                .unwrap();
            assert_eq!(response.job_id, request.key);
        }
        watch(&client(&cell, 0), &request.key, |job| {
            job.state() == JobState::Succeeded
        })
        .await;
        let again: SubmitJobResponse = client(&cell, 1)
            .call("Caller", "SubmitJob", &request)
            .await
            .unwrap();
        assert_eq!(again.job_id, request.key);
        let other = SubmitJobRequest {
            spec: Some(spec(JobClass::Batch, 4, "sleep 200")),
            ..request
        };
        let response = client(&cell, 1)
            .call::<_, SubmitJobResponse>("Caller", "SubmitJob", &other)
            .await;
        assert_eq!(response.unwrap_err().kind, Kind::KeyReused);
        assert_eq!(started(&cell).await, 3);
    });
}

#[test]
fn submit_of_impossible_job_names_the_reason() {
    run(async {
        let cell = cell().start().await.unwrap();
        let client = client(&cell, 0);
        let huge = Amount {
            cpu_millis: 1_000_000,
            memory_mib: 512,
            accelerators: 0,
        };
        let too_large = JobSpec {
            size: Some(huge),
            ..spec(JobClass::Batch, 1, "sleep 1")
        };
        eventually("the refusal of a job that is too large", || async {
            let response = submit(&client, too_large.clone()).await;
            response.is_err_and(|error| {
                error.kind == Kind::Impossible && error.message.contains("processors")
            })
        })
        .await;
        for (field, spec) in [
            (
                "spec.class",
                JobSpec {
                    class: 0,
                    ..spec(JobClass::Batch, 1, "sleep 1")
                },
            ),
            (
                "spec.team",
                JobSpec {
                    team: String::new(),
                    ..spec(JobClass::Batch, 1, "sleep 1")
                },
            ),
            ("spec.tasks", spec(JobClass::Batch, 0, "sleep 1")),
            (
                "spec.size.cpu_millis",
                JobSpec {
                    size: None,
                    ..spec(JobClass::Batch, 1, "sleep 1")
                },
            ),
        ] {
            let error = submit(&client, spec).await.unwrap_err();
            assert_eq!(error.kind, Kind::Malformed);
            assert!(error.message.contains(field), "{error}");
        }
        let error = job(&client, &Uuid::now_v7().to_string()).await.unwrap_err();
        assert_eq!(error.kind, Kind::NotFound);
    });
}

#[test]
fn explain_of_waiting_job_counts_refusals() {
    run(async {
        let cell = cell().start().await.unwrap();
        let client = client(&cell, 0);
        let worker_size = Amount {
            cpu_millis: 16_000,
            memory_mib: 1_024,
            accelerators: 2,
        };
        let filler = JobSpec {
            size: Some(worker_size),
            ..spec(JobClass::Service, 4, "forever")
        };
        let filler = submit(&client, filler).await.unwrap();
        watch(&client, &filler, |job| {
            job.tasks.iter().all(|task| task.state == "running")
        })
        .await;
        let waiting = JobSpec {
            size: Some(worker_size),
            ..spec(JobClass::Service, 1, "forever")
        };
        let waiting = submit(&client, waiting).await.unwrap();
        let request = ExplainJobRequest { job_id: waiting };
        eventually("an explanation", || async {
            let response: ExplainJobResponse =
                client.call("Caller", "ExplainJob", &request).await.unwrap();
            let refused: u32 = response
                .refusals
                .iter()
                .map(|refusal| refusal.workers)
                .sum();
            response.position == 1 && refused == 4
        })
        .await;
        check_workers(&cell).await;
    });
}
