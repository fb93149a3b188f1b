//! Which directors are in the fleet, by SWIM over sealed datagrams.
//!
//! [`membership`] is the entry point: a state machine that takes datagrams and times and gives datagrams to send and
//! changes of the fleet. [`member`] is what directors know of each other. Every datagram is sealed by [`sealer`],
//! which keeps out strangers and replays; [`datagram`] is the layout, [`keys`] the fleet's key and peers' ids, and
//! `replay_window` what is remembered of a sender's sequence numbers.
//!
//! This crate opens no socket, reads no clock and draws no random numbers: the caller does. It decides nothing about
//! sessions. The design, and what is still to be built on it, is in `docs/members.md`.

#![deny(missing_docs)]

pub mod datagram;
pub mod keys;
pub mod member;
pub mod membership;
mod replay_window;
pub mod sealer;
