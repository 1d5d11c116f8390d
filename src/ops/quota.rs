//! Lists the quotas of teams.

use std::collections::BTreeMap;

use super::expect_response;
use crate::api::schema::{Amount, ListQuotasRequest, ListQuotasResponse, QuotaStatus};
use crate::core::error::Result;
use crate::daemon::Context;
use crate::wire::{Request, Response};

/// Lists the quota of each team and the resources that the team uses in all partitions together.
///
/// # Errors
///
/// Fails when any partition cannot be read.
pub async fn list(context: &Context, _request: ListQuotasRequest) -> Result<ListQuotasResponse> {
    let mut teams: BTreeMap<String, QuotaStatus> = BTreeMap::new();
    for partition in super::worker_partitions(context) {
        let response = context
            .request(Request::ListQuotas(partition), super::TIMEOUT, false)
            .await?;
        for quota in expect_response!(response, Response::Quotas)? {
            merge(&mut teams, quota);
        }
    }
    Ok(ListQuotasResponse {
        quotas: teams.into_values().collect(),
    })
}

/// Adds the resources that a team uses in one partition.
fn merge(teams: &mut BTreeMap<String, QuotaStatus>, quota: QuotaStatus) {
    let Some(total) = teams.get_mut(&quota.team) else {
        teams.insert(quota.team.clone(), quota);
        return;
    };
    let used = total.used.get_or_insert_default();
    add(used, &quota.used.unwrap_or_default());
}

/// Adds `more` to `sum` in each resource.
fn add(sum: &mut Amount, more: &Amount) {
    sum.cpu_millis += more.cpu_millis;
    sum.memory_mib += more.memory_mib;
    sum.accelerators += more.accelerators;
}
