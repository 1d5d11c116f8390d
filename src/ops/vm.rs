//! Lists VMs and drains the entry that is asked.

use super::expect_tell;
use crate::api::schema::{DrainVmRequest, DrainVmResponse, ListVmsRequest, ListVmsResponse};
use crate::core::error::Result;
use crate::daemon::Context;
use crate::wire::{Ask, Tell};

/// Lists entries, targets and workers, the latter with what is committed on them.
///
/// # Errors
///
/// Fails when the workers of any partition cannot be read.
pub async fn list(context: &Context, _request: ListVmsRequest) -> Result<ListVmsResponse> {
    let tell = context.ask(Ask::ListVms, super::TIMEOUT, false).await?;
    let mut vms = expect_tell!(tell, Tell::Vms)?;
    for partition in super::worker_partitions(context) {
        let tell = context
            .ask(Ask::ListWorkers(partition), super::TIMEOUT, false)
            .await?;
        vms.extend(expect_tell!(tell, Tell::Vms)?);
    }
    vms.sort_by_key(|vm| vm.id);
    Ok(ListVmsResponse { vms })
}

/// Starts the planned stop of this entry; the answer does not wait for its end.
///
/// # Errors
///
/// None today; a second drain answers like the first.
pub async fn drain(context: &Context, _request: DrainVmRequest) -> Result<DrainVmResponse> {
    let in_flight = context.in_flight().saturating_sub(1);
    context.request_stop();
    Ok(DrainVmResponse {
        in_flight: in_flight as u32,
    })
}
