use laburnum_testkit::standin::Role;
use laburnum_testkit::standin::fault::Faults;

use super::fault::{make_progress, set_log_faults};
use super::load::Load;
use super::{call, cell, client, lookup, pause, run};

/// How many filers keep the cell busy.
const FILERS: usize = 8;

#[test]
fn slow_log_delays_filings_and_doubles_none() {
    run(async {
        let cell = cell().start().await.unwrap();
        let load = Load::start(&cell, FILERS, "echo");
        make_progress(&load, 20).await;
        let slow = Faults {
            slow_ms: 300,
            ..Faults::default()
        };
        set_log_faults(&cell, &slow).await;
        make_progress(&load, 40).await;
        let client = client(&cell, 0);
        let answer = call(&client, &lookup("echo", "address")).await.unwrap();
        assert_eq!(answer.body, b"address");
        set_log_faults(&cell, &Faults::default()).await;
        make_progress(&load, 20).await;
        load.judge(&cell).await;
    });
}

#[test]
fn outage_of_vm_list_refuses_nothing() {
    run(async {
        let cell = cell().start().await.unwrap();
        let load = Load::start(&cell, FILERS, "echo");
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
        let verdict = load.judge(&cell).await;
        assert!(verdict.failed.is_empty(), "{verdict:?}");
    });
}
