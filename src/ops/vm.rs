//! Lists VMs and drains this entry.

use super::expect_response;
use crate::api::schema::{DrainVmRequest, DrainVmResponse, ListVmsRequest, ListVmsResponse};
use crate::core::error::Result;
use crate::daemon::Context;
use crate::wire::{Request, Response};

/// Lists entries, targets and workers; workers with the resources committed on them.
///
/// # Errors
///
/// Fails when the workers of any partition cannot be read.
pub async fn list(context: &Context, _request: ListVmsRequest) -> Result<ListVmsResponse> {
    let response = context
        .request(Request::ListVms, super::TIMEOUT, false)
        .await?;
    let mut vms = expect_response!(response, Response::Vms)?;
    for partition in super::worker_partitions(context) {
        let response = context
            .request(Request::ListWorkers(partition), super::TIMEOUT, false)
            .await?;
        vms.extend(expect_response!(response, Response::Vms)?);
    }
    vms.sort_by_key(|vm| vm.id);
    Ok(ListVmsResponse { vms })
}

/// Starts the planned stop of this entry and responds without waiting for its end.
///
/// # Errors
///
/// Never fails; a repeated drain succeeds as well.
pub async fn drain(context: &Context, _request: DrainVmRequest) -> Result<DrainVmResponse> {
    let in_flight = context.in_flight().saturating_sub(1);
    context.request_stop();
    Ok(DrainVmResponse {
        in_flight: in_flight as u32,
    })
}
