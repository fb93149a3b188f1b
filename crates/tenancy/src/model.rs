//! What a tenant is.

use crate::Millis;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::LazyLock;

/// A tenant's id: 1 to 63 of a-z, 0-9 and '-', a letter first. Text in paths and logs, so nothing else.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TenantId(String);

impl TenantId {
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TenantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for TenantId {
    type Error = &'static str;

    fn try_from(id: String) -> Result<TenantId, &'static str> {
        let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let begins = id.bytes().next().is_some_and(|b| b.is_ascii_lowercase());
        if id.len() <= 63 && begins && id.bytes().all(plain) {
            Ok(TenantId(id))
        } else {
            Err("has to be 1 to 63 of a-z, 0-9 and '-', a letter first")
        }
    }
}

impl From<TenantId> for String {
    fn from(id: TenantId) -> String {
        id.0
    }
}

/// Where a tenant stands. What is gone keeps its record, so that its history has an end, and frees its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum State {
    Active,
    /// Nothing new; what plays plays on.
    Suspended,
    /// Nothing new; what plays ends by itself, or at `until`.
    Deleting {
        since: Millis,
        until: Millis,
    },
    Gone {
        since: Millis,
    },
}

impl State {
    /// Whether new sessions are taken.
    pub fn takes(self) -> bool {
        self == State::Active
    }
}

/// What is agreed with a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Terms {
    #[schemars(length(min = 1, max = 128))]
    pub display_name: String,
    /// Part of what a front and the pool can do, over the sum of all tenants' shares.
    #[schemars(range(min = 0.001, max = 1000000.0))]
    pub share: f64,
    #[serde(default)]
    pub fleet: Fleet,
    /// Classes of request by name.
    #[schemars(extend("minProperties" = 1, "maxProperties" = 32))]
    pub classes: BTreeMap<String, Class>,
    /// Titles by name: the tenant's own, whatever others call theirs.
    #[schemars(extend("maxProperties" = 100000))]
    #[serde(default)]
    pub titles: BTreeMap<String, Title>,
    #[serde(default)]
    pub limits: Limits,
    /// When the tenant is deleted, what plays may go on for so long, seconds.
    #[schemars(range(min = 0, max = 86400))]
    #[serde(default = "an_hour")]
    pub ends_within_s: u32,
}

fn an_hour() -> u32 {
    3600
}

/// Nodes that a tenant's sessions may be set up on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fleet {
    /// Those that all tenants share.
    #[default]
    Pool,
    /// These alone, by number.
    Own(#[schemars(length(min = 1, max = 10000))] Vec<u64>),
}

/// A class of request. Rungs are of the site's ladder: a tenant's ladder is a part of it, from `floor` to `top`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Paid for at set-up: set up once.
    pub paid: bool,
    #[schemars(range(min = 1, max = 3600000))]
    pub aim_ms: u32,
    #[schemars(range(min = 1, max = 3600000))]
    pub give_up_ms: u32,
    #[schemars(range(min = 0.0, max = 1000000.0))]
    pub worth: f64,
    #[schemars(range(max = 63))]
    #[serde(default)]
    pub floor: u32,
    #[schemars(range(max = 63))]
    pub top: Option<u32>,
    /// Sessions of one title that a front may hold; 0: no limit.
    #[serde(default)]
    pub seats: u32,
}

/// Cells that hold a title: `spread` in a row from `home` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Title {
    pub home: u64,
    #[schemars(range(min = 1))]
    pub spread: u64,
}

/// What a tenant may use at most, whatever is free, at each front. Absent: no limit but the front's own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Set-ups a second.
    #[schemars(range(min = 0.0, max = 1000000.0))]
    pub set_ups_per_s: Option<f64>,
    /// Sessions held.
    pub sessions: Option<u32>,
    /// Viewers' connections.
    pub connections: Option<u32>,
    /// Bytes of a request's content, and of its head.
    #[schemars(range(min = 1, max = 65536))]
    pub body_bytes: Option<u32>,
    #[schemars(range(min = 256, max = 65536))]
    pub head_bytes: Option<u32>,
    /// Calls of the administration API a minute.
    #[schemars(range(min = 1, max = 100000))]
    pub admin_calls_per_min: Option<u32>,
}

/// A tenant as the store keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    pub id: TenantId,
    /// Counts the changes of this id, over all who held it; never goes back.
    pub revision: u64,
    pub state: State,
    pub terms: Terms,
    pub created: Millis,
    pub changed: Millis,
}

/// What is wrong with a document: where, as a JSON pointer, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Wrong {
    pub pointer: String,
    pub detail: String,
}

/// The JSON Schema of a tenant's terms, as the API publishes it.
pub fn schema() -> &'static Value {
    static SCHEMA: LazyLock<Value> = LazyLock::new(|| {
        let settings = schemars::generate::SchemaSettings::draft2020_12();
        let mut schema: Value = settings
            .into_generator()
            .into_root_schema_for::<Terms>()
            .into();
        // A name of its own, so that its references stay its own within another document.
        schema["$id"] = "urn:shalewall:terms".into();
        schema
    });
    &SCHEMA
}

/// At most so many faults of one document are told.
const MOST_WRONG: usize = 20;

/// Reads terms: by the published schema, then by what holds between their fields.
pub fn terms(document: &Value) -> Result<Terms, Vec<Wrong>> {
    static VALIDATOR: LazyLock<jsonschema::Validator> = LazyLock::new(|| {
        jsonschema::validator_for(schema()).expect("the published schema is a schema")
    });
    let faults = VALIDATOR.iter_errors(document).take(MOST_WRONG);
    let mut wrong: Vec<Wrong> = faults
        .map(|e| Wrong {
            pointer: e.instance_path().to_string(),
            detail: e.to_string(),
        })
        .collect();
    if !wrong.is_empty() {
        return Err(wrong);
    }
    let at = |e: serde_json::Error| {
        vec![Wrong {
            pointer: String::new(),
            detail: e.to_string(),
        }]
    };
    let terms: Terms = serde_json::from_value(document.clone()).map_err(at)?;
    for (name, class) in &terms.classes {
        let mut say = |field: &str, detail: &str| {
            let name = name.replace('~', "~0").replace('/', "~1");
            let pointer = format!("/classes/{name}/{field}");
            wrong.push(Wrong {
                pointer,
                detail: detail.to_string(),
            });
        };
        if class.top.is_some_and(|top| top < class.floor) {
            say("top", "has to be the floor or above");
        }
        if class.aim_ms > class.give_up_ms {
            say("aim_ms", "has to be within give_up_ms");
        }
    }
    wrong.truncate(MOST_WRONG);
    if wrong.is_empty() {
        Ok(terms)
    } else {
        Err(wrong)
    }
}
