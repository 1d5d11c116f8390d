use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::Faults;

use super::fault::{make_progress, set_log_faults};
use super::load::Load;
use super::{call, cell, client, idempotent_call, pause, run};

/// How many load tasks keep the cell busy.
const LOAD_TASKS: usize = 8;

#[test]
fn slow_log_delays_filings_and_doubles_none() {
    run(async {
        let cell = cell().start().await.unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "echo");
        make_progress(&load, 20).await;
        let slow = Faults {
            slow_ms: 300,
            ..Faults::default()
        };
        set_log_faults(&cell, &slow).await;
        make_progress(&load, 40).await;
        let client = client(&cell, 0);
        let response = call(&client, &idempotent_call("echo", "address"))
            .await
            .unwrap();
        assert_eq!(response.body, b"address");
        set_log_faults(&cell, &Faults::default()).await;
        make_progress(&load, 20).await;
        load.check(&cell).await;
    });
}

#[test]
fn outage_of_vm_list_refuses_nothing() {
    run(async {
        let cell = cell().start().await.unwrap();
        let load = Load::start(&cell, LOAD_TASKS, "echo");
        make_progress(&load, 20).await;
        let down = Faults {
            down: true,
            ..Faults::default()
        };
        let vms = &cell.platform.vms.client;
        vms.set_faults(Role::Vms, 0, &down).await.unwrap();
        pause(3_000).await;
        make_progress(&load, 40).await;
        vms.set_faults(Role::Vms, 0, &Faults::default())
            .await
            .unwrap();
        let summary = load.check(&cell).await;
        assert!(summary.failed.is_empty(), "{summary:?}");
    });
}
