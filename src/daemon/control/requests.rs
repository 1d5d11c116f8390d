//! Responds to requests of HTTP threads and of other entries.
//!
//! The owner of a job's partition handles the requests about the job; another entry forwards them
//! to it through the peer thread. A forwarded request is not forwarded again, so that two entries
//! with different views cannot send it back and forth.

use std::time::Duration;

use serde_json::json;

use super::archive::{Body, Record};
use super::configuration::{ChangeRequest, RESPONSE_MARGIN};
use super::{Control, Pending};
use crate::api::convert;
use crate::api::schema::{JobStatus, VmStatus};
use crate::core::error::{Error, Kind, Result};
use crate::core::id::{Job, Partition};
use crate::core::placement::{self, Input};
use crate::core::stream::PushId;
use crate::core::time::Instant;
use crate::daemon::peer;
use crate::platform::vms::{Role, State};
use crate::wire::{Reply, Request, Response, Stream, StreamState};

/// The maximum number of jobs in one list.
const MAX_LISTED: usize = 10_000;

impl Control {
    /// Responds to a request, or forwards it to the owner of its partition.
    pub(super) fn respond(
        &mut self,
        now: Instant,
        request: Request,
        deadline: Instant,
        is_forwarded: bool,
        reply: Reply,
    ) {
        let Some(partition) = self.partition_of(&request) else {
            return self.respond_locally(now, request, deadline, reply);
        };
        if self.leases.deadline(partition, now).is_some() {
            return self.respond_as_owner(now, partition, request, reply);
        }
        let owner = self
            .leases
            .owner(partition)
            .filter(|owner| *owner != self.leases.node());
        match owner {
            Some(owner) if !is_forwarded => {
                let timeout = deadline.since(now);
                self.context.peer(peer::Command::Request {
                    to: owner.vm,
                    request,
                    timeout,
                    reply,
                });
            }
            _ => {
                let message = format!(
                    "partition {} has no owner that may act now; retry later",
                    partition.0
                );
                let _ = reply.send(Err(Error::new(Kind::NoOwner, message)));
            }
        }
    }

    /// Returns the partition whose owner handles a request; `None` when every entry can.
    fn partition_of(&self, request: &Request) -> Option<Partition> {
        match request {
            Request::SubmitJob(job) => Some(self.jobs.partition_of(job.id)),
            Request::GetJob(job) | Request::CancelJob(job) | Request::ExplainJob(job) => {
                Some(self.jobs.partition_of(*job))
            }
            Request::ListJobs { partition, .. }
            | Request::ListWorkers(partition)
            | Request::ListQuotas(partition) => Some(*partition),
            Request::Call(_)
            | Request::ListVms
            | Request::GetConfig(_)
            | Request::PutConfig { .. }
            | Request::ListConfig
            | Request::Dump
            | Request::StreamState(_) => None,
        }
    }

    /// Responds to a request that every entry can handle.
    fn respond_locally(&mut self, now: Instant, request: Request, deadline: Instant, reply: Reply) {
        let result = match request {
            Request::PutConfig { base, author, body } => {
                let deadline = deadline - RESPONSE_MARGIN;
                let change = ChangeRequest {
                    base,
                    author,
                    body,
                    at: self.context.clock.stamp(),
                    deadline,
                };
                let responses = self
                    .configuration
                    .put(now, &mut self.journal, change, reply);
                responses
                    .into_iter()
                    .for_each(super::configuration::OperatorResponse::send);
                return;
            }
            Request::GetConfig(version) => self
                .configuration
                .get(version)
                .map(|version| Response::Config(vec![version])),
            Request::ListConfig => Ok(Response::Config(self.configuration.list())),
            Request::ListVms => Ok(Response::Vms(self.list_vms())),
            Request::StreamState(stream) => {
                let copy = self.stream_copy(stream);
                Ok(Response::StreamState(copy.map(|copy| StreamState {
                    next: copy.next,
                    bytes: copy.bytes,
                })))
            }
            Request::Dump => Ok(Response::State(self.dump(now).to_string())),
            _ => Err(Error::new(
                Kind::Internal,
                "the control thread does not handle this request",
            )),
        };
        let _ = reply.send(result);
    }

    /// Responds to a request as the owner of its worker partition.
    fn respond_as_owner(
        &mut self,
        now: Instant,
        partition: Partition,
        request: Request,
        reply: Reply,
    ) {
        let result = match request {
            Request::SubmitJob(job) => return self.submit(partition, *job, reply),
            Request::CancelJob(job) => return self.cancel(now, partition, job, reply),
            Request::GetJob(job) => self.job_status(partition, job).map(Response::Job),
            Request::ExplainJob(job) => self.explain(now, partition, job),
            Request::ListJobs { team, ended, .. } => {
                let is_listed = |job: &JobStatus| {
                    let is_team = team
                        .as_ref()
                        .is_none_or(|team| job.spec.as_ref().is_some_and(|s| s.team == team.0));
                    is_team && (ended || !convert::is_ended(job))
                };
                Ok(Response::Jobs(
                    self.job_list(partition)
                        .into_iter()
                        .filter(is_listed)
                        .take(MAX_LISTED)
                        .collect(),
                ))
            }
            Request::ListWorkers(_) => Ok(Response::Vms(self.list_workers(partition))),
            Request::ListQuotas(_) => {
                let quotas = self
                    .jobs
                    .cell(partition)
                    .map(|cell| cell.quotas().map(convert::quota_status).collect());
                Ok(Response::Quotas(quotas.unwrap_or_default()))
            }
            _ => Err(Error::new(
                Kind::Internal,
                "the owner of a partition does not handle this request",
            )),
        };
        let _ = reply.send(result);
    }

    /// Writes the record of a new job; responds at once when the job was submitted before.
    fn submit(&mut self, partition: Partition, job: placement::Job, reply: Reply) {
        let id = job.id;
        match self.check_submit(partition, &job) {
            Ok(true) => {
                let _ = reply.send(Ok(Response::Submitted(id)));
                return;
            }
            Ok(false) => {}
            Err(error) => {
                let _ = reply.send(Err(error));
                return;
            }
        }
        let result = self.push_accepted(partition, &job);
        match result {
            Ok((push_id, record)) => {
                self.jobs.begin_accept(partition, job);
                self.pending
                    .insert(push_id, (Pending::Accepted(id, reply), record));
            }
            Err(error) => {
                let _ = reply.send(Err(error));
            }
        }
    }

    /// Queues the record of an accepted job for the log.
    fn push_accepted(
        &mut self,
        partition: Partition,
        job: &placement::Job,
    ) -> Result<(PushId, Record)> {
        let missing = || {
            Error::new(
                Kind::NoOwner,
                "this entry no longer owns the partition; retry later",
            )
        };
        let epoch = self.leases.epoch(partition).ok_or_else(missing)?;
        let body = Body::Cell(vec![placement::Record::Accepted(Box::new(job.clone()))]);
        let record = Record {
            partition,
            epoch,
            body,
        };
        let push_id = self.journal.push(Stream::Work, &record)?;
        Ok((push_id, record))
    }

    /// Returns whether the same job was submitted before, or the error that refuses it.
    fn check_submit(&self, partition: Partition, job: &placement::Job) -> Result<bool> {
        if self.drain.is_some() {
            return Err(Error::new(
                Kind::Stopping,
                "the owner is stopping; retry later",
            ));
        }
        let missing = || Error::new(Kind::NoOwner, "the partition is being opened; retry later");
        let cell = self.jobs.cell(partition).ok_or_else(missing)?;
        if let Some(known) = self.known_spec(partition, job.id) {
            if known == *job {
                return Ok(true);
            }
            let message = format!("key {} belongs to another job; use a new key", job.id);
            return Err(Error::new(Kind::KeyReused, message));
        }
        self.check_age(job.id)?;
        cell.admit(job)?;
        if !self.journal.is_up() {
            return Err(Error::new(
                Kind::LogDown,
                "the log is down, so the job cannot be made durable; retry later",
            ));
        }
        Ok(false)
    }

    /// Refuses keys that are too old to distinguish a repeated job from a new one, and keys from
    /// the future.
    fn check_age(&self, job: Job) -> Result<()> {
        let created = job.created().unwrap_or_default();
        let now = self.context.clock.stamp();
        let skew = Duration::from_millis(self.context.settings.lease.clock_skew_ms);
        if created <= now + skew && created + self.jobs.ended_retention() >= now {
            return Ok(());
        }
        let message =
            format!("key {job} is too old or from the future; use a new key for a new job");
        Err(Error::new(Kind::KeyExpired, message))
    }

    /// Returns a job as it was submitted, whether or not its record is durable.
    fn known_spec(&self, partition: Partition, job: Job) -> Option<placement::Job> {
        if let Some(job) = self.jobs.accepting(job) {
            return Some(job.clone());
        }
        self.archive.job(partition, job).cloned()
    }

    /// Cancels a job; the response waits until the cancellation is durable.
    fn cancel(&mut self, now: Instant, partition: Partition, job: Job, reply: Reply) {
        match self.job_status(partition, job) {
            Ok(status) if convert::is_ended(&status) => {
                let _ = reply.send(Ok(Response::Job(status)));
            }
            Ok(_) => {
                self.canceling.entry(job).or_default().push(reply);
                let outputs = self.jobs.step(now, partition, Input::Cancel(job));
                self.apply_cell_outputs(partition, outputs);
            }
            Err(error) => {
                let _ = reply.send(Err(error));
            }
        }
    }

    /// Responds to the requests that wait for a job's cancellation.
    pub(super) fn respond_canceled(&mut self, partition: Partition, job: Job) {
        for reply in self.canceling.remove(&job).unwrap_or_default() {
            let _ = reply.send(self.job_status(partition, job).map(Response::Job));
        }
    }

    /// Returns the status of a job.
    fn job_status(&self, partition: Partition, job: Job) -> Result<JobStatus> {
        let missing = || {
            Error::new(
                Kind::NotFound,
                format!("there is no job {job}, or it ended long ago"),
            )
        };
        let cell = self.jobs.cell(partition).ok_or_else(missing)?;
        let status = cell.job(job).ok_or_else(missing)?;
        let spec = self.archive.job(partition, job);
        Ok(convert::job_status(&status, spec, cell.tasks(job)))
    }

    /// Returns the status of all jobs of a partition that this entry owns.
    fn job_list(&self, partition: Partition) -> Vec<JobStatus> {
        let ids = self
            .jobs
            .cell(partition)
            .map(|cell| cell.ids().collect::<Vec<Job>>());
        let ids = ids.unwrap_or_default().into_iter();
        ids.filter_map(|job| self.job_status(partition, job).ok())
            .collect()
    }

    fn explain(&self, now: Instant, partition: Partition, job: Job) -> Result<Response> {
        let status = self.job_status(partition, job)?;
        let explanation = self.jobs.cell(partition).and_then(|cell| cell.explain(job));
        Ok(Response::Explained(convert::explain_response(
            now,
            &status,
            explanation.as_ref(),
        )))
    }

    /// Lists entries and targets.
    fn list_vms(&self) -> Vec<VmStatus> {
        let states = self.leases.dump_view();
        let state_of = |id: u32| {
            states
                .rows
                .iter()
                .find(|row| row.vm.0 == id)
                .map(|row| format!("{:?}", row.state))
        };
        let mut vms = Vec::new();
        for vm in &self.vms.vms {
            let (role, state) = match vm.role {
                Role::Entry => ("entry", state_of(vm.id).unwrap_or_default().to_lowercase()),
                Role::Target { .. } => ("target", listed_state(vm.state).to_owned()),
                Role::Worker { .. } => continue,
            };
            vms.push(VmStatus {
                id: vm.id,
                role: role.to_owned(),
                state,
                data_centre: vm.data_centre.clone(),
                address: vm.address.to_string(),
                size: None,
                committed: None,
            });
        }
        vms
    }

    /// Lists the workers of a partition with their committed resources.
    fn list_workers(&self, partition: Partition) -> Vec<VmStatus> {
        let Some(cell) = self.jobs.cell(partition) else {
            return Vec::new();
        };
        let vm_of = |id: u32| self.vms.vms.iter().find(|vm| vm.id == id);
        let workers = cell.workers().map(|worker| {
            let vm = vm_of(worker.id.0);
            convert::vm_status(&worker, vm)
        });
        workers.collect()
    }

    /// Returns the state of the control thread, for operators.
    fn dump(&self, now: Instant) -> serde_json::Value {
        let cells = self.jobs.partitions().filter_map(|partition| {
            let dump = serde_json::to_value(self.jobs.cell(partition)?.dump()).ok()?;
            Some((partition.0.to_string(), dump))
        });
        json!({
            "node": self.leases.node().to_string(),
            "log_up": self.journal.is_up(),
            "streams_read_directly": self.journal.direct(),
            "config_version": self.configuration.version().0,
            "vm_list_version": self.vms.version,
            "entries": self.leases.dump_view(),
            "leases": self.leases.dump_leases(now),
            "keys": self.keys.sizes(),
            "slots": self.slots.counted(now),
            "cells": cells.collect::<serde_json::Map<_, _>>(),
            "archived_records": self.archive.len(),
            "records_pending": self.pending.len(),
            "in_flight": self.context.in_flight(),
            "draining": self.context.is_draining(),
        })
    }
}

/// Returns the name of a state in the VM list.
fn listed_state(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Leaving => "leaving",
    }
}
