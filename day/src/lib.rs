//! Summarizes a day from the structured logs of gateways and sidecars.
//!
//! - [`line`] parses a line into its time, host and fields.
//! - [`summary`] counts the outcomes of requests by second and availability zone.
//! - [`outage`] combines the lines of all hosts about outages of a group.
//! - [`ends`] combines their lines about requests that were on backend servers that ended.
//! - [`demand`] counts final answers by urgency and by team.
//! - [`rest`] combines their lines about backend servers that requested rest or are leaving.
//! - [`text`] and [`plot`] print the result.
//!
//! Lines are read one at a time, so that logs of any size can be read. Lines that cannot be parsed
//! are counted and skipped, for example those that two hosts wrote into one another.

pub mod demand;
pub mod ends;
pub mod line;
pub mod outage;
pub mod plot;
pub mod rest;
pub mod summary;
pub mod text;
