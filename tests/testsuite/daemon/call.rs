use laburnum_testkit::http;
use laburnumplank::api::schema::CallRequest;
use laburnumplank::core::error::{Effect, Kind};
use uuid::Uuid;

use super::load::runs;
use super::{SERVICE, call, cell, client, idempotent_call, keyed_call, run};

#[test]
fn call_returns_each_response_to_its_caller() {
    run(async {
        let cell = cell().start().await.unwrap();
        let mut waiting = Vec::new();
        for number in 0..30_u64 {
            let client = client(&cell, (number % 3) as usize);
            waiting.push(actix_rt::spawn(async move {
                // Later requests get their responses earlier.
                let method = format!("sleep/{}", 300 - number * 10);
                let request = match number % 2 {
                    0 => keyed_call(&method, &format!("dossier {number}")),
                    _ => idempotent_call(&method, &format!("address {number}")),
                };
                let response = call(&client, &request).await.unwrap();
                assert_eq!(response.body, request.body);
            }));
        }
        for task in waiting {
            task.await.unwrap();
        }
        runs(&cell).await;
    });
}

#[test]
fn call_with_repeated_key_runs_once() {
    run(async {
        let cell = cell().start().await.unwrap();
        let request = keyed_call("sleep/400", "dossier");
        let repeats = (0..6).map(|entry| {
            let (client, request) = (client(&cell, entry % 3), request.clone());
            actix_rt::spawn(async move { call(&client, &request).await })
        });
        let repeats: Vec<_> = repeats.collect();
        for repeat in repeats {
            assert_eq!(repeat.await.unwrap().unwrap().body, request.body);
        }
        let response = call(&client(&cell, 1), &request).await.unwrap();
        assert!(response.recorded);
        assert_eq!(runs(&cell).await.get(&request.key), Some(&1));
        let other = CallRequest {
            body: b"another dossier".to_vec(),
            ..request
        };
        let error = call(&client(&cell, 0), &other).await.unwrap_err();
        assert_eq!(error.kind, Kind::KeyReused);
    });
}

#[test]
fn call_that_is_invalid_is_refused_at_once() {
    run(async {
        let cell = cell().start().await.unwrap();
        let client = client(&cell, 0);
        let cases = [
            (
                Kind::KeyRequired,
                CallRequest {
                    key: String::new(),
                    ..keyed_call("echo", "")
                },
            ),
            (
                Kind::KeyRequired,
                CallRequest {
                    key: Uuid::new_v4().to_string(),
                    ..keyed_call("echo", "")
                },
            ),
            (
                Kind::NotFound,
                CallRequest {
                    service: "no-such".to_owned(),
                    ..keyed_call("echo", "")
                },
            ),
            (
                Kind::Malformed,
                CallRequest {
                    method: String::new(),
                    ..keyed_call("echo", "")
                },
            ),
            (
                Kind::Malformed,
                CallRequest {
                    method: "a b".to_owned(),
                    ..keyed_call("echo", "")
                },
            ),
            (
                Kind::TooLarge,
                CallRequest {
                    body: vec![0; 2 << 20],
                    ..keyed_call("echo", "")
                },
            ),
            (Kind::TargetFailed, keyed_call("fail/1", "")),
        ];
        for (kind, request) in cases {
            let error = call(&client, &request).await.unwrap_err();
            assert_eq!(error.kind, kind, "{error:?}");
            let is_run = kind == Kind::TargetFailed;
            assert_eq!(error.effect == Effect::NotRun, !is_run, "{error:?}");
        }
    });
}

#[test]
fn call_in_json_follows_the_protocol() {
    run(async {
        let cell = cell().start().await.unwrap();
        let http = http::Client::default();
        let post = |content_type: &'static str, body: &'static str| {
            let url = cell.url(0, "/laburnum.v1.Caller/Call");
            let http = http.clone();
            async move {
                let headers = [http::Header {
                    name: "content-type",
                    value: content_type,
                }];
                let request = http::Request {
                    method: awc::http::Method::POST,
                    url: &url,
                    headers: &headers,
                    body: body.as_bytes().into(),
                };
                http.send(request).await.unwrap()
            }
        };
        let body = r#"{"service":"licence","method":"echo","body":"aGVsbG8=","idempotent":true}"#;
        let response = post("application/json", body).await;
        assert_eq!(response.status, 200);
        let json: serde_json::Value = response.json().unwrap();
        assert_eq!(json["body"], "aGVsbG8=");
        for (content_type, body) in [
            ("application/json", "{"),
            ("application/json", r#"{"no_such_field":1}"#),
            ("application/proto", "\u{ff}\u{ff}"),
            ("text/plain", "hello"),
        ] {
            let response = post(content_type, body).await;
            assert_eq!(response.status, 400, "{body}");
            let json: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
            assert_eq!(json["code"], "invalid_argument", "{json}");
            assert_eq!(json["details"][0]["type"], "laburnum.v1.ErrorDetail");
        }
        assert_eq!(SERVICE, "licence");
    });
}
