//! The network layer of one director: connections to its viewers, its media nodes and the endpoint list.
//!
//! [`EventLoop`](event_loop::EventLoop) drives one [`shalewall_engine::Engine`]: it passes inputs to the engine and
//! executes the engine's outputs. Inputs come from [`viewer_api`] and `player_events` (viewers), [`node`] (media
//! nodes) and [`endpoint_list`]; each of them holds the event loop or only an input sink. In a hosted service
//! [`tenants`] holds the director's state of its tenants, `tenant_sync` keeps it up to date and `usage_reports` sends
//! usage reports to the administration API. [`Server`] assembles the parts.
//!
//! This crate handles HTTP, JSON and sockets and makes no decisions: the engine decides how a request is answered, and
//! the `shalewall` crate selects the node.

#![deny(missing_docs)]

mod accept;
mod admin_client;
mod connections;
pub mod director;
pub mod endpoint_list;
pub mod event_loop;
pub mod node;
mod player_events;
pub mod player_streams;
mod server;
mod session_request;
mod tenant_sync;
mod tenant_terms;
pub mod tenants;
mod usage_reports;
pub mod viewer_api;

pub use server::{Server, StartError};
pub use session_request::InvalidRequest;
