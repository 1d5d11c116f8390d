//! Many cancellations at once.

use futures_util::future::join_all;
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{CancelJobRequest, CancelJobResponse, JobClass, JobState};
use laburnumplank::core::error::Result;
use laburnumplank::core::resource::Amount;

use super::job::{check_workers, spec, started};
use super::{cell, client, eventually, run, submit, watch};

/// How many jobs are cancelled at once.
const JOBS: usize = 40;

/// How many tasks each of these jobs has.
const TASKS: u32 = 50;

/// How many of these tasks fit on the workers at once.
const WORKER_CAPACITY: u64 = 64;

async fn cancel(client: &Client, id: &str) -> bool {
    let request = CancelJobRequest {
        job_id: id.to_owned(),
    };
    let response: Result<CancelJobResponse> = client.call("Caller", "CancelJob", &request).await;
    response.is_ok()
}

#[test]
fn concurrent_cancellations_do_not_block_urgent_job() {
    run(async {
        // Workers without accelerators reserve no capacity for tasks that need accelerators.
        let size = Amount {
            cpu_millis: 16_000,
            memory_mib: 65_536,
            accelerators: 0,
        };
        let cell = cell().worker_size(size).start().await.unwrap();
        let clients: Vec<Client> = (0..3).map(|entry| client(&cell, entry)).collect();
        let submits = (0..JOBS).map(|number| {
            submit(
                &clients[number % 3],
                spec(JobClass::Batch, TASKS, "forever"),
            )
        });
        let ids: Vec<String> = join_all(submits)
            .await
            .into_iter()
            .collect::<Result<_>>()
            .unwrap();
        eventually("tasks that fill all workers", || async {
            started(&cell).await >= WORKER_CAPACITY
        })
        .await;
        let cancellations = ids.iter().enumerate().map(|(number, id)| {
            let clients = &clients;
            async move {
                eventually("a cancellation", || cancel(&clients[number % 3], id)).await;
                eventually("a repeated cancellation", || {
                    cancel(&clients[(number + 1) % 3], id)
                })
                .await;
            }
        });
        let urgent = async {
            let id = submit(&clients[0], spec(JobClass::Urgent, 4, "sleep 100"))
                .await
                .unwrap();
            watch(&clients[1], &id, |job| job.state() == JobState::Succeeded).await
        };
        futures_util::join!(join_all(cancellations), urgent);
        for id in &ids {
            watch(&clients[2], id, |job| job.state() == JobState::Cancelled).await;
        }
        check_workers(&cell).await;
    });
}
