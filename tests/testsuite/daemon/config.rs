use laburnum_testkit::cell::Cell;
use laburnumplank::api::schema::{
    CallRequest, ConfigVersion, GetConfigRequest, GetConfigResponse, JobClass, ListConfigRequest,
    ListConfigResponse, PutConfigRequest, PutConfigResponse,
};
use laburnumplank::core::error::{Kind, Result};
use serde_json::json;

use super::job::spec;
use super::{call, cell, client, eventually, keyed_call, run, submit};

/// Returns a configuration document with a quota of `cores` processors for one team.
pub(super) fn document(cores: u64) -> String {
    json!({ "teams": { "bars": { "cpu_millis": cores * 1_000, "memory_mib": 1_024, "accelerators": 0 } } }).to_string()
}

pub(super) async fn put(cell: &Cell, entry: usize, base: u64, document: String) -> Result<u64> {
    let request = PutConfigRequest {
        base_version: base,
        author: "ana".to_owned(),
        document,
        ..PutConfigRequest::default()
    };
    let response: PutConfigResponse = client(cell, entry)
        .call("Operator", "PutConfig", &request)
        .await?;
    Ok(response.version)
}

async fn get(cell: &Cell, entry: usize) -> ConfigVersion {
    let request = GetConfigRequest { version: 0 };
    let response: GetConfigResponse = client(cell, entry)
        .call("Operator", "GetConfig", &request)
        .await
        .unwrap();
    response.config.unwrap()
}

#[test]
fn put_is_in_force_on_all_entries() {
    run(async {
        let cell = cell().start().await.unwrap();
        assert_eq!(put(&cell, 0, 0, document(1)).await.unwrap(), 1);
        assert_eq!(put(&cell, 0, 1, document(2)).await.unwrap(), 2);
        let cell = &cell;
        for entry in 0..3 {
            eventually("version 2", || async move {
                get(cell, entry).await.version == 2
            })
            .await;
        }
        let list = ListConfigRequest {};
        let list: ListConfigResponse = client(cell, 1)
            .call("Operator", "ListConfig", &list)
            .await
            .unwrap();
        let versions: Vec<u64> = list
            .versions
            .iter()
            .map(|version| version.version)
            .collect();
        assert_eq!(versions.first(), Some(&2));
    });
}

#[test]
fn put_of_concurrent_changes_accepts_one() {
    run(async {
        let cell = std::rc::Rc::new(cell().start().await.unwrap());
        let writers: Vec<_> = (0..6)
            .map(|writer| {
                let cell = std::rc::Rc::clone(&cell);
                actix_rt::spawn(async move {
                    put(&cell, writer % 3, 0, document(writer as u64 + 1)).await
                })
            })
            .collect();
        let mut accepted = 0;
        for writer in writers {
            match writer.await.unwrap() {
                Ok(version) => {
                    assert_eq!(version, 1);
                    accepted += 1;
                }
                Err(error) => {
                    assert_eq!(error.kind, Kind::Conflict, "{error}");
                    assert!(error.message.contains("version 1"), "{error}");
                }
            }
        }
        assert_eq!(accepted, 1);
    });
}

#[test]
fn put_of_invalid_document_lists_all_errors() {
    run(async {
        let cell = cell().start().await.unwrap();
        let invalid =
            json!({ "teams": { "bars": { "quota": { "cpu_millis": -1 } } }, "no_such": 1 })
                .to_string();
        let error = put(&cell, 0, 0, invalid).await.unwrap_err();
        assert_eq!(error.kind, Kind::InvalidConfig);
        assert!(
            error.message.contains("no_such") && error.message.contains("teams.bars"),
            "{error}"
        );
    });
}

#[test]
fn put_of_service_changes_how_it_is_called() {
    run(async {
        let cell = cell().start().await.unwrap();
        let request = CallRequest {
            key: String::new(),
            ..keyed_call("echo", "address")
        };
        let error = call(&client(&cell, 1), &request).await.unwrap_err();
        assert_eq!(error.kind, Kind::KeyRequired);
        let document = json!({
            "services": { "licence": { "idempotent_methods": ["echo"] } },
            "limits": { "request_bytes": 4_096, "tasks_per_job": 10 },
        });
        put(&cell, 0, 0, document.to_string()).await.unwrap();
        let cell = &cell;
        let request = &request;
        eventually("the method to be idempotent", || async move {
            let response = call(&client(cell, 1), request).await;
            response.is_ok_and(|response| response.body == request.body)
        })
        .await;
        let large = keyed_call("echo", &"x".repeat(5_000));
        let error = call(&client(cell, 1), &large).await.unwrap_err();
        assert_eq!(error.kind, Kind::TooLarge);
        let error = submit(&client(cell, 1), spec(JobClass::Batch, 11, "sleep 1"))
            .await
            .unwrap_err();
        assert_eq!(error.kind, Kind::Malformed);
    });
}

#[test]
fn put_of_patch_conflicts_with_same_keys_only() {
    run(async {
        let cell = cell().start().await.unwrap();
        put(&cell, 0, 0, document(1)).await.unwrap();
        let patch = |team: &str, cores: u64| {
            PutConfigRequest {
            base_version: 1,
            author: "ana".to_owned(),
            patch: json!({ "teams": { team: { "cpu_millis": cores, "memory_mib": 1, "accelerators": 0 } } })
                .to_string(),
            ..PutConfigRequest::default()
        }
        };
        for (request, kind) in [
            (patch("clerks", 1_000), None),
            (patch("mayors", 2_000), None),
            (patch("clerks", 3_000), Some(Kind::Conflict)),
            (PutConfigRequest::default(), Some(Kind::Malformed)),
        ] {
            let response: Result<PutConfigResponse> = client(&cell, 1)
                .call("Operator", "PutConfig", &request)
                .await;
            assert_eq!(response.err().map(|error| error.kind), kind);
        }
    });
}
