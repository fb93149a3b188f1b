//! Names of zones, machine kinds, classes and tenants. Messages contain names, while the decision module uses indices.

/// Names in the order of the settings: the position of a name is its index in the module.
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
    /// Returns the index of a zone; `None` if it is not in the settings.
    pub fn zone_index(&self, name: &str) -> Option<usize> {
        index_of(&self.zones, name)
    }

    /// Returns the index of a machine kind; `None` if it is not in the settings.
    pub fn machine_kind_index(&self, name: &str) -> Option<usize> {
        index_of(&self.machine_kinds, name)
    }

    /// Returns the index of a class; `None` if it is not in the settings.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        index_of(&self.classes, name)
    }

    /// Returns the index of a tenant; `None` if it is not in the settings.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        index_of(&self.tenants, name)
    }
}

fn index_of(names: &[String], wanted: &str) -> Option<usize> {
    names.iter().position(|name| name == wanted)
}
