//! Simulation of one shard in virtual time: the production scheduler runs against emulated engines.
//! Hosts and the network are not modelled, except in `owners`.

mod baseline;
mod engine_pool;
pub mod owners;
mod report;
mod simulation;
mod workload;

pub use self::baseline::Baseline;
pub use self::report::{Report, TierReport, print_table};
pub use self::simulation::{Policy, SimulationOptions, simulate};
pub use self::workload::{PlannedRequest, Workload};
