//! The session service on sockets.
//!
//! [`hub`] drives one [`shalewall_engine::Engine`]: it feeds it what happens and carries out what it says.
//! [`api`] is the viewers' side, [`node`] the media nodes', [`list`] the list of servers', [`follow`] the side of
//! players whose sessions can be handed over. [`serve`] puts them
//! together; [`tenants`] follows the tenants of a hosted service.
//!
//! What this crate may know: everything above it. What it must not: decide. A request is answered by the
//! engine, a server chosen by the module.

pub mod api;
pub mod follow;
pub mod hub;
pub mod keeper;
mod list;
pub mod node;
pub mod serve;
pub mod tenants;
