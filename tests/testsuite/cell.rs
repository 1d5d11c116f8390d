//! A whole cell of real programs.

use std::collections::BTreeMap;
use std::future::Future;
use std::time::Duration;

use futures_util::future::join_all;
use laburnum_testkit::cell::{Builder, Cell};
use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::{Faults, Loss};
use laburnumplank::api::client::Client;
use laburnumplank::api::schema::{
    Amount, CallRequest, CallResponse, GetJobRequest, GetJobResponse, JobClass, JobSpec, JobState,
    SubmitJobRequest, SubmitJobResponse, WatchJobRequest, WatchJobResponse,
};
use laburnumplank::core::error::{Effect, Error, Kind};
use uuid::Uuid;

const TIMEOUT: Duration = Duration::from_secs(30);

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

fn client(cell: &Cell, entry: usize) -> Client {
    Client::new(&cell.url(entry % cell.entries.len(), ""), TIMEOUT)
}

fn request(method: &str, body: &str) -> CallRequest {
    CallRequest {
        service: "licence".to_owned(),
        method: method.to_owned(),
        body: body.into(),
        key: Uuid::now_v7().to_string(),
        caller: "mairie".to_owned(),
        ..CallRequest::default()
    }
}

async fn call(client: &Client, request: &CallRequest) -> Result<CallResponse, Error> {
    client.call("Caller", "Call", request).await
}

/// Returns how often each key ran; panics when a target was asked too much.
async fn effects(cell: &Cell) -> BTreeMap<String, u64> {
    let targets = &cell.platform.targets;
    let mut all = BTreeMap::new();
    for index in 0..targets.addresses.len() {
        let effects = targets.client.effects(index).await.unwrap();
        let violations = [
            effects.slots_exceeded,
            effects.connections_exceeded,
            effects.key_twice,
        ];
        assert_eq!(violations, [0; 3], "target {index}: {effects:?}");
        for (key, count) in effects.by_key {
            *all.entry(key).or_default() += count;
        }
    }
    all
}

async fn assert_no_violations(cell: &Cell) {
    let workers = &cell.platform.workers;
    for index in 0..workers.addresses.len() {
        let violations = workers.client.violations(index).await.unwrap();
        assert!(violations.is_empty(), "worker {index}: {violations:?}");
    }
}

#[test]
fn calls_at_once_get_their_own_answers_and_run_once() {
    run(async {
        let cell = Builder::new().start().await.unwrap();
        let requests: Vec<CallRequest> = (0..60)
            .map(|index| {
                request(
                    &format!("sleep/{}", index % 7 * 20),
                    &format!("dossier {index}"),
                )
            })
            .collect();
        let clients: Vec<Client> = (0..3).map(|entry| client(&cell, entry)).collect();
        let calls = requests.iter().enumerate();
        let answers = join_all(calls.map(|(index, each)| call(&clients[index % 3], each))).await;
        for (request, answer) in requests.iter().zip(answers) {
            assert_eq!(answer.unwrap().body, request.body);
        }
        let effects = effects(&cell).await;
        assert_eq!(effects.len(), requests.len());
        assert!(effects.values().all(|count| *count == 1), "{effects:?}");
    });
}

#[test]
fn call_with_lost_answer_runs_once_and_is_unknown() {
    run(async {
        let cell = Builder::new().targets(1).start().await.unwrap();
        let answer_lost = Loss::Next(1);
        let faults = Faults {
            answer_lost,
            ..Faults::default()
        };
        let control = &cell.platform.targets.client;
        control.set_faults(Role::Target, 0, &faults).await.unwrap();
        let request = request("echo", "dossier");
        for entry in 0..3 {
            let error = call(&client(&cell, entry), &request).await.unwrap_err();
            assert_eq!(error.kind.answer().effect, Effect::Unknown, "{error:?}");
        }
        assert_eq!(effects(&cell).await[&request.key], 1);
    });
}

#[test]
fn call_of_known_key_gets_recorded_answer() {
    run(async {
        let cell = Builder::new().start().await.unwrap();
        let request = request("echo", "dossier");
        for entry in 0..3 {
            let answer = call(&client(&cell, entry), &request).await.unwrap();
            assert_eq!(answer.body, request.body);
            assert_eq!(answer.recorded, entry > 0);
        }
        assert_eq!(effects(&cell).await[&request.key], 1);
    });
}

#[test]
fn job_of_each_class_succeeds_within_workers() {
    run(async {
        let cell = Builder::new().start().await.unwrap();
        let classes = [
            JobClass::Urgent,
            JobClass::Service,
            JobClass::Gang,
            JobClass::Batch,
        ];
        let client = client(&cell, 1);
        let jobs = classes.map(|class| submit(&client, class, "sleep 300"));
        for (class, job) in classes.into_iter().zip(join_all(jobs).await) {
            if class != JobClass::Service {
                assert_eq!(end(&client, &job.unwrap()).await, JobState::Succeeded);
            }
        }
        assert_no_violations(&cell).await;
    });
}

#[test]
fn job_above_every_worker_is_refused() {
    run(async {
        let cell = Builder::new().workers(1).start().await.unwrap();
        let client = client(&cell, 0);
        let mut spec = spec(JobClass::Batch, "sleep 1");
        spec.size = Some(Amount {
            cpu_millis: 1_000_000,
            ..Amount::default()
        });
        let error = submit_spec(&client, spec).await.unwrap_err();
        assert_eq!(error.kind, Kind::Impossible);
    });
}

fn spec(class: JobClass, command: &str) -> JobSpec {
    JobSpec {
        class: class.into(),
        team: "bars".to_owned(),
        tasks: 3,
        size: Some(Amount {
            cpu_millis: 6_000,
            memory_mib: 1_024,
            accelerators: 0,
        }),
        command: command.to_owned(),
        ..JobSpec::default()
    }
}

async fn submit(client: &Client, class: JobClass, command: &str) -> Result<String, Error> {
    submit_spec(client, spec(class, command)).await
}

async fn submit_spec(client: &Client, spec: JobSpec) -> Result<String, Error> {
    let request = SubmitJobRequest {
        key: Uuid::now_v7().to_string(),
        spec: Some(spec),
    };
    let submitted: SubmitJobResponse = client.call("Caller", "SubmitJob", &request).await?;
    Ok(submitted.job_id)
}

/// Waits until a job has ended.
async fn end(client: &Client, job: &str) -> JobState {
    let request = GetJobRequest {
        job_id: job.to_owned(),
    };
    let known: GetJobResponse = client.call("Caller", "GetJob", &request).await.unwrap();
    let mut status = known.job.unwrap();
    while matches!(status.state(), JobState::Pending | JobState::Running) {
        let request = WatchJobRequest {
            job_id: job.to_owned(),
            revision: status.revision,
            wait_ms: 5_000,
        };
        let watched: WatchJobResponse = client.call("Caller", "WatchJob", &request).await.unwrap();
        status = watched.job.unwrap();
    }
    status.state()
}
