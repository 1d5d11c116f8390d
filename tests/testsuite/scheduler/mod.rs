//! Tests of the scheduler that places the tasks of jobs on workers.

mod accounts;
mod advice;
mod advisor;
mod capacity;
mod cell;
pub(crate) use cell::rules;
mod directory;
mod explain;
mod fault;
mod fuzz;
mod fuzz_wait;
mod gang_wait;
mod ledger;
mod occurrence;
mod oracle;
mod order;
mod poison;
mod promise;
mod queue;
mod recovery;
mod release;
mod run;
mod service;
mod share;
mod wait;
mod work;
mod world;
