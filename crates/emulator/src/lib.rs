//! Stand-ins for what a front meets: media nodes, the list of servers, viewers.
//!
//! [`nodes`], [`list`] and [`viewers`] put the models of `shalewall-fleet-model` on loopback sockets by
//! `docs/protocol.md`, with faults on demand, and record what passes there.
//!
//! What this crate may know: the protocol and the physics. What it must not: engine, front, decisions; it
//! meets a front only over sockets. All random numbers come from ChaCha8 with a stated seed.

pub mod list;
pub mod nodes;
mod player;
pub mod recorder;
pub mod viewers;
