//! Sums up a day by the structured logs of gateways and sidecars.
//!
//! [`line`] splits a line into its time, host and fields; [`summary`] counts
//! what became of requests, by second and availability zone; [`outage`] puts
//! together what each host believed of a group, [`ends`] what it held of requests
//! under which servers ended, [`rest`] what servers said of their own near
//! future; [`text`] and [`plot`] show it.
//! Lines are taken one after the other, so that logs of any size can be read;
//! lines that are not understood, as those that two hosts wrote into one
//! another, are counted and left out.

pub mod ends;
pub mod line;
pub mod outage;
pub mod plot;
pub mod rest;
pub mod summary;
pub mod text;
