//! Emulated environment of a director: media nodes, endpoint list and viewers.
//!
//! [`nodes`], [`list`] and [`viewers`] put the models of `shalewall-fleet-model` on loopback sockets by
//! `docs/protocol.md`, with fault injection, and record what they see there.
//!
//! The crate depends on the protocol and on the fleet model only, not on the engine, the server or their decisions; it
//! meets a director only over sockets. All random numbers come from ChaCha8 with a given seed.

pub mod list;
pub mod nodes;
mod player;
pub mod recorder;
pub mod viewers;
