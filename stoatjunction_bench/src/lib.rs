//! Demo and experiment commands, and the layouts and clients that they share with the tests.

pub mod client;
pub mod compare;
pub mod compare_owners;
pub mod demo;
pub mod experiment;
pub mod fleet;
pub mod layout;
pub mod mix;
