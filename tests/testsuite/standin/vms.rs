use std::time::Duration;

use laburnum_testkit::standin::vms::{Edit, State};
use laburnumplank::core::time::Instant;
use laburnumplank::platform::vms::{List, Role, State as VmState, Vm};

use super::{ANY_PORT, Bench, run};

fn entry(id: u32) -> Vm {
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
    let mut vms = State::new(Duration::from_secs(2), vec![entry(1)]);
    vms.edit(Instant(0), Edit::Put(entry(2)));
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
        let bench = Bench::start();
        let address = bench
            .host
            .add_vms(ANY_PORT, Duration::ZERO, Vec::new())
            .unwrap();
        let all = Edit::Replace(vec![entry(1), entry(2)]);
        bench.control.edit_vms(&all).await.unwrap();
        bench.control.edit_vms(&Edit::Remove(1)).await.unwrap();
        let url = format!("http://{address}/v1/vms");
        let list: List = bench.http.get(&url).await.unwrap();
        assert_eq!((list.version, list.vms), (3, vec![entry(2)]));
    });
}
