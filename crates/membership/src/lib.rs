//! Membership of the fleet's directors, by the SWIM protocol over sealed datagrams.
//!
//! [`membership`] is the entry point: a state machine that takes datagrams and timeouts and returns datagrams to send
//! and changes of the membership. [`member`] describes a director to the others. [`sealer`] authenticates every
//! datagram and rejects replays; [`datagram`] defines the layout, [`keys`] the fleet's key and the ids of peers, and
//! `replay_window` tracks the sequence numbers of a sender.
//!
//! This crate opens no sockets, reads no clock and takes its random seed from the caller. It makes no decisions about
//! sessions. The design and the planned next steps are in `docs/members.md`.

#![deny(missing_docs)]

pub mod datagram;
pub mod keys;
pub mod member;
pub mod membership;
mod replay_window;
pub mod sealer;
