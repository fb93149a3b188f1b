//! The configuration file of a director on loopback sockets.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A configuration with one class and an empty list of nodes.
pub fn configuration(listen: SocketAddr, service: SocketAddr) -> Value {
    json!({
        "name": "d1",
        "listen": listen,
        "seed": "0123456789abcdef",
        "limits": {"sockets": 256},
        "journal": service,
        "known": {"pos": 0, "entries": []},
        "settings": {"MyNumber": 0, "Balancers": 1, "Categories": [{"Name": "only"}]},
    })
}

/// Writes a configuration file into a directory.
pub fn write_configuration(directory: &Path, configuration: &Value) -> PathBuf {
    let file = directory.join("config.json");
    std::fs::write(&file, configuration.to_string()).unwrap();
    file
}
