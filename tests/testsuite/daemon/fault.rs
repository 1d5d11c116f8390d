use std::time::{Duration, Instant};

use laburnum_testkit::cell::Cell;
use laburnum_testkit::process::Signal;
use laburnum_testkit::standin::fault::{Faults, ResponseLoss};
use laburnum_testkit::standin::{Role, vms};
use laburnumplank::api::schema::{
    Amount, DrainVmRequest, DrainVmResponse, JobClass, JobSpec, JobState,
};
use laburnumplank::core::error::{Effect, Kind};

use super::job::{check_workers, spec, started};
use super::load::{Load, runs};
use super::{
    LIMIT, call, cell, client, eventually, idempotent_call, keyed_call, pause, run, submit, watch,
};

/// How many load tasks keep the cell busy.
const LOAD_TASKS: usize = 12;

/// A time longer than every lease of a test cell, in milliseconds.
const PAST_LEASES_MS: u64 = 5_000;

pub(super) async fn set_log_faults(cell: &Cell, faults: &Faults) {
    cell.platform
        .log
        .client
        .set_faults(Role::Log, 0, faults)
        .await
        .unwrap();
}

/// Waits until `more` further calls have ended.
pub(super) async fn make_progress(load: &Load, more: usize) {
    let wanted = load.ended() + more;
    eventually("progress of the load", || async { load.ended() >= wanted }).await;
}

#[test]
fn kill_of_entry_loses_and_doubles_nothing() {
    run(async {
        let mut cell = cell().start().await.unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "sleep/30");
        make_progress(&load, 50).await;
        cell.entries[0].process.kill().unwrap();
        pause(PAST_LEASES_MS).await;
        cell.restart(0).unwrap();
        make_progress(&load, 50).await;
        cell.wait_until_ready(0).await.unwrap();
        make_progress(&load, 50).await;
        let summary = load.check(&cell).await;
        assert!(summary.done >= 150, "{summary:?}");
        for error in &summary.failed {
            let may_retry = error.retry_after.is_some() && error.effect == Effect::NotRun;
            assert!(may_retry || error.effect == Effect::Unknown, "{error:?}");
        }
    });
}

#[test]
fn pause_of_entry_past_its_leases_doubles_nothing() {
    run(async {
        let cell = cell().start().await.unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "sleep/30");
        make_progress(&load, 50).await;
        cell.entries[1].process.signal(Signal::Stop).unwrap();
        pause(PAST_LEASES_MS).await;
        cell.entries[1].process.signal(Signal::Continue).unwrap();
        make_progress(&load, 100).await;
        load.check(&cell).await;
    });
}

#[test]
fn lost_answers_of_log_change_nothing() {
    run(async {
        let cell = cell().start().await.unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "echo");
        make_progress(&load, 20).await;
        let faults = Faults {
            answer_lost: ResponseLoss::Next(30),
            ..Faults::default()
        };
        set_log_faults(&cell, &faults).await;
        make_progress(&load, 100).await;
        set_log_faults(&cell, &Faults::default()).await;
        let summary = load.check(&cell).await;
        assert!(summary.failed.is_empty(), "{summary:?}");
    });
}

#[test]
fn outage_of_log_is_answered_truthfully() {
    run(async {
        let cell = cell().start().await.unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "echo");
        make_progress(&load, 50).await;
        set_log_faults(
            &cell,
            &Faults {
                down: true,
                ..Faults::default()
            },
        )
        .await;
        let job = spec(JobClass::Batch, 1, "sleep 10");
        let client = client(&cell, 0);
        eventually("the refusal of a job while the log is down", || async {
            let response = submit(&client, job.clone()).await;
            response
                .is_err_and(|error| error.kind == Kind::LogDown && error.effect == Effect::NotRun)
        })
        .await;
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(2 * PAST_LEASES_MS) {
            assert_eq!(
                call(&client, &idempotent_call("echo", "address"))
                    .await
                    .unwrap()
                    .body,
                b"address"
            );
            pause(100).await;
        }
        set_log_faults(&cell, &Faults::default()).await;
        make_progress(&load, 100).await;
        load.check(&cell).await;
        let id = submit_until_accepted(&cell).await;
        watch(&client, &id, |job| job.state() == JobState::Succeeded).await;
    });
}

/// Submits a job until the cell accepts it.
async fn submit_until_accepted(cell: &Cell) -> String {
    let deadline = Instant::now() + LIMIT;
    loop {
        match submit(&client(cell, 0), spec(JobClass::Batch, 1, "sleep 10")).await {
            Ok(id) => return id,
            Err(error) => assert!(Instant::now() < deadline, "{error}"),
        }
        pause(200).await;
    }
}

#[test]
fn silent_connections_are_replaced() {
    run(async {
        let cell = cell().start().await.unwrap();
        let client = client(&cell, 0);
        for _ in 0..10 {
            call(&client, &idempotent_call("echo", "address"))
                .await
                .unwrap();
        }
        let silent = Faults {
            silent: true,
            ..Faults::default()
        };
        for target in 0..2 {
            cell.platform
                .targets
                .client
                .set_faults(Role::Target, target, &silent)
                .await
                .unwrap();
        }
        for _ in 0..20 {
            let response = call(&client, &idempotent_call("echo", "address"))
                .await
                .unwrap();
            assert_eq!(response.body, b"address");
        }
        let load = Load::start(&cell, 4, "echo");
        make_progress(&load, 20).await;
        load.check(&cell).await;
    });
}

#[test]
fn leaving_target_gets_no_new_calls() {
    run(async {
        let cell = cell().start().await.unwrap();
        let list = cell.edit_vms(&vms::Edit::Leave(100_001)).await.unwrap();
        assert_eq!(list.vms.len(), 9);
        pause(3_000).await;
        let before = cell.platform.targets.client.effects(0).await.unwrap();
        for number in 0..30 {
            call(&client(&cell, number % 3), &keyed_call("echo", "dossier"))
                .await
                .unwrap();
        }
        let after = cell.platform.targets.client.effects(0).await.unwrap();
        assert_eq!(before.by_key.len(), after.by_key.len());
    });
}

#[test]
fn planned_stop_completes_all_requests() {
    run(async {
        let mut cell = cell().start().await.unwrap();
        let slow: Vec<_> = (0..3)
            .map(|number| {
                let client = client(&cell, 0);
                actix_rt::spawn(async move {
                    call(&client, &keyed_call("sleep/1500", &number.to_string())).await
                })
            })
            .collect();
        let load = Load::start(&cell, LOAD_TASKS, "sleep/30");
        make_progress(&load, 30).await;
        let _: DrainVmResponse = client(&cell, 0)
            .call("Operator", "DrainVm", &DrainVmRequest {})
            .await
            .unwrap();
        for request in slow {
            request.await.unwrap().unwrap();
        }
        let status = cell.entries[0].process.wait(LIMIT).unwrap();
        assert!(status.success(), "{status}");
        make_progress(&load, 100).await;
        let summary = load.check(&cell).await;
        assert!(summary.failed.is_empty(), "{summary:?}");
    });
}

#[test]
fn kill_of_cell_owner_finishes_jobs_once() {
    run(async {
        let mut cell = cell().start().await.unwrap();
        let batch = submit(&client(&cell, 0), spec(JobClass::Batch, 40, "sleep 700"))
            .await
            .unwrap();
        let service = submit(&client(&cell, 0), spec(JobClass::Service, 3, "forever"))
            .await
            .unwrap();
        watch(&client(&cell, 0), &service, |job| {
            job.state() == JobState::Running
        })
        .await;
        let owner = owner_of_last_partition(&cell).await;
        cell.entries[owner].process.kill().unwrap();
        let other = client(&cell, (owner + 1) % 3);
        watch(&other, &batch, |job| job.state() == JobState::Succeeded).await;
        watch(&other, &service, |job| {
            job.tasks.iter().all(|task| task.state == "running")
        })
        .await;
        check_workers(&cell).await;
        assert_eq!(started(&cell).await, 43);
    });
}

/// Returns the index of the entry that owns the worker partition.
pub(super) async fn owner_of_last_partition(cell: &Cell) -> usize {
    for entry in 0..cell.entries.len() {
        let dump: serde_json::Value = cell.http.get(&cell.url(entry, "/dump")).await.unwrap();
        if dump["control"]["cells"]
            .as_object()
            .is_some_and(|cells| !cells.is_empty())
        {
            return entry;
        }
    }
    panic!("no entry owns the worker partition");
}

#[test]
fn replacement_of_every_entry_loses_nothing() {
    run(async {
        let mut cell = cell().start().await.unwrap();
        let service = submit(&client(&cell, 0), spec(JobClass::Service, 3, "forever"))
            .await
            .unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "sleep/20");
        make_progress(&load, 30).await;
        for entry in 0..3 {
            cell.entries[entry]
                .process
                .signal(Signal::Terminate)
                .unwrap();
            cell.entries[entry].process.wait(LIMIT).unwrap();
            cell.restart(entry).unwrap();
            cell.wait_until_ready(entry).await.unwrap();
            make_progress(&load, 30).await;
        }
        let summary = load.check(&cell).await;
        assert!(summary.failed.is_empty(), "{summary:?}");
        watch(&client(&cell, 0), &service, |job| {
            job.tasks.iter().all(|task| task.state == "running")
        })
        .await;
        check_workers(&cell).await;
        runs(&cell).await;
    });
}

#[test]
fn accepted_job_continues_while_log_is_down() {
    run(async {
        let cell = cell().start().await.unwrap();
        let size = Amount {
            cpu_millis: 4_000,
            memory_mib: 512,
            accelerators: 0,
        };
        let long_job = JobSpec {
            size: Some(size),
            ..spec(JobClass::Batch, 40, "sleep 2000")
        };
        let id = submit(&client(&cell, 0), long_job).await.unwrap();
        let first = client(&cell, 0);
        watch(&first, &id, |job| {
            job.tasks.iter().any(|task| task.state == "running")
        })
        .await;
        set_log_faults(
            &cell,
            &Faults {
                down: true,
                ..Faults::default()
            },
        )
        .await;
        let cell_ref = &cell;
        eventually("the start of all tasks", || async move {
            started(cell_ref).await == 40
        })
        .await;
        set_log_faults(&cell, &Faults::default()).await;
        watch(&first, &id, |job| job.state() == JobState::Succeeded).await;
        assert_eq!(started(&cell).await, 40);
        check_workers(&cell).await;
    });
}
