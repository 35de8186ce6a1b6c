//! Settings files: JSON with comments, parsed and validated.
//!
//! One file describes a whole fleet. Each process reads it and uses the entry of its own machine.
//! [`load`] reads a settings file and reports the first problem with the file, the line, the field,
//! what was found and what is allowed.

mod error;
mod fleet;
mod load;

pub use error::SettingsError;
pub use fleet::{
    ControlEntry, ControlOptions, FleetSettings, LogFormat, LogLevel, LogOptions, MachineEntry,
    OperatorsFile, RouterEntry, RouterOptions,
};
pub use load::{Problem, Validate, load, parse};
