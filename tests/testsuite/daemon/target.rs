//! Targets whose responses are lost or that fail.

use laburnum_testkit::cell::Cell;
use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::{Faults, ResponseLoss};
use laburnumplank::core::error::{Effect, Kind};

use super::{call, cell, client, keyed_call, run};

/// Sets the faults of the only target.
async fn set_faults(cell: &Cell, faults: Faults) {
    let control = &cell.platform.targets.client;
    control.set_faults(Role::Target, 0, &faults).await.unwrap();
}

/// Returns how often the only target ran the call with a key.
async fn runs(cell: &Cell, key: &str) -> u64 {
    let effects = cell.platform.targets.client.effects(0).await.unwrap();
    effects.by_key.get(key).copied().unwrap_or_default()
}

#[test]
fn lost_response_of_target_runs_once_and_is_unknown() {
    run(async {
        let cell = cell().targets(1).start().await.unwrap();
        let answer_lost = ResponseLoss::Next(1);
        set_faults(
            &cell,
            Faults {
                answer_lost,
                ..Faults::default()
            },
        )
        .await;
        let request = keyed_call("echo", "dossier");
        for entry in 0..3 {
            let response = call(&client(&cell, entry), &request).await;
            let runs = runs(&cell, &request.key).await;
            assert_eq!(runs, 1, "entry {entry}: {response:?}");
            let error = response.expect_err("the response was lost");
            assert_eq!(error.kind.answer().effect, Effect::Unknown, "{error:?}");
        }
    });
}

#[test]
fn refused_connection_of_target_is_not_run() {
    run(async {
        let cell = cell().targets(1).start().await.unwrap();
        set_faults(
            &cell,
            Faults {
                down: true,
                ..Faults::default()
            },
        )
        .await;
        let request = keyed_call("echo", "dossier");
        let error = call(&client(&cell, 0), &request).await.unwrap_err();
        assert_eq!(error.kind.answer().effect, Effect::NotRun, "{error:?}");
        set_faults(&cell, Faults::default()).await;
        assert_eq!(runs(&cell, &request.key).await, 0);
    });
}

#[test]
fn failure_of_target_is_reported() {
    run(async {
        let cell = cell().targets(1).start().await.unwrap();
        set_faults(
            &cell,
            Faults {
                broken: true,
                ..Faults::default()
            },
        )
        .await;
        let request = keyed_call("echo", "dossier");
        let error = call(&client(&cell, 0), &request).await.unwrap_err();
        assert_eq!(error.kind, Kind::TargetFailed, "{error:?}");
        assert_eq!(runs(&cell, &request.key).await, 1);
    });
}
