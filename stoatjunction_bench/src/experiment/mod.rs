//! A measuring bench of one pool's decisions: the real decision logic against emulated engines, in
//! virtual time. It models no hosts and no network.

mod baseline;
mod pool;
mod report;
mod run;
mod workload;

pub use self::baseline::Baseline;
pub use self::report::{Report, TierReport, print_table};
pub use self::run::{Policy, SimulationOptions, simulate};
pub use self::workload::{PlannedRequest, Workload};
