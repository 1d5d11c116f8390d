//! The scheduler of jobs of steps.

mod advice;
mod cell;
mod order;
mod recovery;
mod run;
