//! Entries that start after the log has dropped records that they need.

use laburnumplank::api::schema::{JobClass, JobState};

use super::fault::set_log_faults;
use super::job::{check_workers, spec};
use super::load::Load;
use super::{LIMIT, call, cell, client, eventually, keyed_call, pause, run, submit, watch};

/// How long the log of these tests keeps a log entry, in seconds.
const RETENTION_S: u64 = 4;

/// A time longer than the retention, in milliseconds.
const PAST_RETENTION_MS: u64 = 8_000;

fn cell_with_short_retention() -> laburnum_testkit::cell::Builder {
    cell()
        .log_options(&["--age-s", "4"])
        .settings(serde_json::json!({
            "lease": { "duration_ms": 2_000 },
            "cell": { "request_partitions": 8 },
            "log": { "retention_s": RETENTION_S.max(10) },
        }))
}

#[test]
fn restart_after_retention_restores_state_of_peers() {
    run(async {
        let mut cell = cell_with_short_retention().start().await.unwrap();
        let request = keyed_call("echo", "dossier");
        call(&client(&cell, 0), &request).await.unwrap();
        let service = submit(&client(&cell, 0), spec(JobClass::Service, 2, "forever"))
            .await
            .unwrap();
        watch(&client(&cell, 0), &service, |job| {
            job.state() == JobState::Running
        })
        .await;
        pause(PAST_RETENTION_MS).await;
        for entry in 0..3 {
            cell.restart(entry).unwrap();
            cell.wait_until_ready(entry).await.unwrap();
            pause(4_000).await;
        }
        let first = client(&cell, 0);
        watch(&first, &service, |job| {
            job.tasks.iter().all(|task| task.state == "running")
        })
        .await;
        eventually("the recorded response", || async {
            call(&first, &request)
                .await
                .is_ok_and(|response| response.recorded)
        })
        .await;
        let load = Load::start(&cell, 4, "echo");
        eventually("progress", || async { load.ended() >= 20 }).await;
        load.check(&cell).await;
        check_workers(&cell).await;
    });
}

#[test]
fn restart_of_all_entries_after_retention_takes_snapshots() {
    run(async {
        let mut cell = cell_with_short_retention().start().await.unwrap();
        let service = submit(&client(&cell, 0), spec(JobClass::Service, 2, "forever"))
            .await
            .unwrap();
        watch(&client(&cell, 0), &service, |job| {
            job.state() == JobState::Running
        })
        .await;
        pause(PAST_RETENTION_MS).await;
        for entry in 0..3 {
            cell.entries[entry].process.kill().unwrap();
        }
        for entry in 0..3 {
            cell.restart(entry).unwrap();
        }
        for entry in 0..3 {
            cell.wait_until_ready(entry).await.unwrap();
        }
        let first = client(&cell, 0);
        watch(&first, &service, |job| {
            job.tasks.iter().all(|task| task.state == "running")
        })
        .await;
        check_workers(&cell).await;
    });
}

#[test]
fn start_while_log_is_down_takes_state_of_peer() {
    run(async {
        let mut cell = cell().start().await.unwrap();
        let id = submit(&client(&cell, 0), spec(JobClass::Batch, 1, "sleep 10"))
            .await
            .unwrap();
        watch(&client(&cell, 0), &id, |job| {
            job.state() == JobState::Succeeded
        })
        .await;
        let down = laburnum_testkit::standin::fault::Faults {
            down: true,
            ..Default::default()
        };
        set_log_faults(&cell, &down).await;
        cell.restart(2).unwrap();
        let restarted = client(&cell, 2);
        let started = std::time::Instant::now();
        eventually("a response of the restarted entry", || async {
            super::job(&restarted, &id).await.is_ok()
        })
        .await;
        assert!(started.elapsed() < LIMIT);
    });
}
