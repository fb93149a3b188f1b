//! The session service on sockets: one director, its viewers, its media nodes and the endpoint list.
//!
//! [`EventLoop`](event_loop::EventLoop) drives one [`shalewall_engine::Engine`]: it gives it what happens and carries
//! out what it says. What happens comes from [`viewer_api`] and `player_events` on the viewers' side, from [`node`] on
//! the media nodes' and from [`endpoint_list`]; they know the event loop, or no more than a sink for inputs. In a
//! hosted service [`tenants`] holds what is known of the tenants, `tenant_sync` brings it up to date and
//! `usage_reports` tells the administration API. [`Server`] puts them together.
//!
//! This crate knows HTTP, JSON and sockets. It does not decide: a request is answered by the engine, a node chosen by
//! the module.

#![deny(missing_docs)]

mod accept;
mod admin_client;
mod connections;
pub mod director;
pub mod endpoint_list;
pub mod event_loop;
pub mod node;
pub mod offers;
mod player_events;
mod server;
mod session_request;
mod tenant_sync;
mod tenant_terms;
pub mod tenants;
mod usage_reports;
pub mod viewer_api;

pub use server::{Server, StartError};
pub use session_request::InvalidRequest;
