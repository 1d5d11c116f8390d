//! The scheduler of jobs of steps.

mod advice;
mod cell;
pub(crate) use cell::rules;
mod order;
mod recovery;
mod run;
