use std::time::Duration;

use laburnum_testkit::standin::vms::{Edit, State};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::vms::{List, Role, State as VmState, Vm};

use super::{ANY_PORT, Fixture, run};

/// Returns a live entry VM.
fn entry_vm(id: u32) -> Vm {
    Vm {
        id,
        state: VmState::Live,
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "quimper".to_owned(),
        role: Role::Entry,
    }
}

#[test]
fn edit_is_published_after_lag() {
    let mut vms = State::new(Duration::from_secs(2), vec![entry_vm(1)]);
    vms.edit(Instant(0), Edit::Put(entry_vm(2)));
    vms.edit(Instant(1_000_000), Edit::Leave(1));
    assert_eq!(vms.published(Instant(1_999_999)).vms.len(), 1);
    assert_eq!(
        vms.published(Instant(2_000_000)).vms[0].state,
        VmState::Live
    );
    assert_eq!(
        vms.published(Instant(3_000_000)).vms[0].state,
        VmState::Leaving
    );
}

#[test]
fn edit_over_http_is_served() {
    run(async {
        let fixture = Fixture::start();
        let address = fixture
            .host
            .add_vms(ANY_PORT, Duration::ZERO, Vec::new())
            .unwrap();
        let all = Edit::Replace(vec![entry_vm(1), entry_vm(2)]);
        fixture.control.edit_vms(&all).await.unwrap();
        fixture.control.edit_vms(&Edit::Remove(1)).await.unwrap();
        let url = format!("http://{address}/v1/vms");
        let list: List = fixture.http.get(&url).await.unwrap();
        assert_eq!((list.version, list.vms), (3, vec![entry_vm(2)]));
    });
}
