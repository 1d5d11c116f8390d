use laburnum_testkit::http;
use laburnumplank::api::schema::CallRequest;
use laburnumplank::core::error::{Effect, Kind};
use uuid::Uuid;

use super::load::runs;
use super::{SERVICE, call, cell, client, filing, lookup, run};

#[test]
fn call_returns_each_answer_to_its_caller() {
    run(async {
        let cell = cell().start().await.unwrap();
        let mut waiting = Vec::new();
        for number in 0..30_u64 {
            let client = client(&cell, (number % 3) as usize);
            waiting.push(actix_rt::spawn(async move {
                // Later requests are answered earlier.
                let method = format!("sleep/{}", 300 - number * 10);
                let request = match number % 2 {
                    0 => filing(&method, &format!("dossier {number}")),
                    _ => lookup(&method, &format!("address {number}")),
                };
                let answer = call(&client, &request).await.unwrap();
                assert_eq!(answer.body, request.body);
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
        let request = filing("sleep/400", "dossier");
        let repeats = (0..6).map(|entry| {
            let (client, request) = (client(&cell, entry % 3), request.clone());
            actix_rt::spawn(async move { call(&client, &request).await })
        });
        let repeats: Vec<_> = repeats.collect();
        for repeat in repeats {
            assert_eq!(repeat.await.unwrap().unwrap().body, request.body);
        }
        let answer = call(&client(&cell, 1), &request).await.unwrap();
        assert!(answer.recorded);
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
fn call_that_makes_no_sense_is_refused_at_once() {
    run(async {
        let cell = cell().start().await.unwrap();
        let client = client(&cell, 0);
        let cases = [
            (
                Kind::KeyRequired,
                CallRequest {
                    key: String::new(),
                    ..filing("echo", "")
                },
            ),
            (
                Kind::KeyRequired,
                CallRequest {
                    key: Uuid::new_v4().to_string(),
                    ..filing("echo", "")
                },
            ),
            (
                Kind::NotFound,
                CallRequest {
                    service: "no-such".to_owned(),
                    ..filing("echo", "")
                },
            ),
            (
                Kind::Malformed,
                CallRequest {
                    method: String::new(),
                    ..filing("echo", "")
                },
            ),
            (
                Kind::Malformed,
                CallRequest {
                    method: "a b".to_owned(),
                    ..filing("echo", "")
                },
            ),
            (
                Kind::TooLarge,
                CallRequest {
                    body: vec![0; 2 << 20],
                    ..filing("echo", "")
                },
            ),
            (Kind::TargetFailed, filing("fail/1", "")),
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
        let answer = post("application/json", body).await;
        assert_eq!(answer.status, 200);
        let json: serde_json::Value = answer.json().unwrap();
        assert_eq!(json["body"], "aGVsbG8=");
        for (content_type, body) in [
            ("application/json", "{"),
            ("application/json", r#"{"no_such_field":1}"#),
            ("application/proto", "\u{ff}\u{ff}"),
            ("text/plain", "hello"),
        ] {
            let answer = post(content_type, body).await;
            assert_eq!(answer.status, 400, "{body}");
            let json: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
            assert_eq!(json["code"], "invalid_argument", "{json}");
            assert_eq!(json["details"][0]["type"], "laburnum.v1.ErrorDetail");
        }
        assert_eq!(SERVICE, "licence");
    });
}
