use laburnum_testkit::process::Builder;
use laburnumplank::api::schema::{JobClass, ListVmsRequest, ListVmsResponse};
use laburnumplank::core::error::Result;
use serde_json::Value;

use super::job::spec;
use super::{cell, client, eventually, find, run, submit, watch};

#[test]
fn list_vms_shows_all_roles() {
    run(async {
        let cell = cell().start().await.unwrap();
        let id = submit(&client(&cell, 0), spec(JobClass::Service, 2, "forever"))
            .await
            .unwrap();
        watch(&client(&cell, 0), &id, |job| {
            job.tasks.iter().all(|task| task.state == "running")
        })
        .await;
        let response: ListVmsResponse = client(&cell, 2)
            .call("Operator", "ListVms", &ListVmsRequest {})
            .await
            .unwrap();
        assert_eq!(response.vms.len(), 3 + 4 + 2);
        assert_eq!(find(&response.vms, 1).state, "live");
        let committed = response.vms.iter().filter_map(|vm| vm.committed.as_ref());
        assert_eq!(
            committed.map(|amount| amount.cpu_millis).sum::<u64>(),
            2_000
        );
    });
}

#[test]
fn list_vms_uses_state_names_of_the_schema() {
    run(async {
        let cell = cell().start().await.unwrap();
        let client = client(&cell, 0);
        eventually("every VM live", || async {
            let request = ListVmsRequest {};
            let response: Result<ListVmsResponse> =
                client.call("Operator", "ListVms", &request).await;
            let vms = response.map(|response| response.vms).unwrap_or_default();
            let states = ["live", "leaving", "suspect", "dead", "quarantined"];
            assert!(
                vms.iter().all(|vm| states.contains(&vm.state.as_str())),
                "{vms:?}"
            );
            !vms.is_empty() && vms.iter().all(|vm| vm.state == "live")
        })
        .await;
    });
}

#[test]
fn command_line_runs_a_job_to_its_end() {
    run(async {
        let cell = cell().start().await.unwrap();
        let entry = cell.url(1, "");
        let laburnum = |arguments: &[&str]| {
            Builder::new("laburnum")
                .args(["--entry", &entry])
                .args(arguments)
                .run()
                .unwrap()
        };
        let submitted = laburnum(&[
            "job", "submit", "--class", "batch", "--team", "bars", "--run", "sleep 50",
        ]);
        let id = submitted.expect_success().stdout().trim().to_owned();
        laburnum(&["job", "watch", &id])
            .expect_success()
            .expect_stdout("succeeded");
        let listed: Value = laburnum(&["job", "list", "--ended", "--format", "json"])
            .expect_success()
            .json()
            .unwrap();
        assert_eq!(listed["jobs"][0]["jobId"], id.as_str());
        laburnum(&["call", "licence", "echo", "--body", "hello"])
            .expect_success()
            .expect_stdout("hello");
        laburnum(&["vm", "list"])
            .expect_success()
            .expect_stdout("worker");
        laburnum(&["quota", "list"]).expect_success();
        laburnum(&["dump"]).expect_success().expect_stdout("leases");
        laburnum(&["job", "get", "nonsense"])
            .expect_code(2)
            .expect_stderr("not a UUID");
        laburnum(&["job", "list", "--format", "yaml"]).expect_code(2);
        laburnum(&["call", "no-such", "echo"])
            .expect_code(1)
            .expect_stderr("not_found");
    });
}

#[test]
fn command_line_without_reachable_entry_fails() {
    let finished = Builder::new("laburnum")
        .args(["--entry", "http://127.0.0.1:9", "vm", "list"])
        .run()
        .unwrap();
    finished.expect_code(4).expect_stderr("cannot connect");
}
