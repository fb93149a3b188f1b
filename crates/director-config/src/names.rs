//! The names of zones, machine kinds, classes and tenants. Messages use them; the module knows their indices only.

/// Names in the order of the settings: a name's place is its index in the module.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Zones of the fleet.
    pub zones: Vec<String>,
    /// Kinds of machines that media nodes run on.
    pub machine_kinds: Vec<String>,
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
}

impl Names {
    /// Index of a zone; none where the settings lack it.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        index_of(&self.zones, name)
    }

    /// Index of a machine kind; none where the settings lack it.
    pub fn machine_kind_index(&self, name: &str) -> Option<usize> {
        index_of(&self.machine_kinds, name)
    }

    /// Index of a class; none where the settings lack it.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        index_of(&self.classes, name)
    }

    /// Index of a tenant; none where the settings lack it.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        index_of(&self.tenants, name)
    }
}

fn index_of(names: &[String], wanted: &str) -> Option<usize> {
    names.iter().position(|name| name == wanted)
}
