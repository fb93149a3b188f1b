//! Settings files in HCL: read, checked, and turned into what the decision module is told.
//!
//! What this crate may know: files, their form, and what module and engine are told at their start. What it
//! must not: sockets, sessions, nodes. An [`Error`] names the file, the line, the path within it and what would be right.

mod day;
mod locate;
mod moves;
mod site;

pub use day::{Day, DayPlan, Fleet, HostedDay, Load, Machine, Trouble, TroubleKind};
pub use moves::Moves;
pub use site::{
    Admin, AdminPlan, Class, Costs, Front, FrontPlan, Further, Hosting, Kind, Layout, Limits, Link,
    Notes, Rules, Site, Step, Tenant, Title, us,
};

use garde::Validate;
use hcl::Value;
use serde::de::{DeserializeOwned, IntoDeserializer};
use std::fmt;
use std::path::Path;

/// What is wrong with a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    pub file: String,
    /// From 1; absent where the file can't be read at all.
    pub line: Option<usize>,
    /// Within the file, as `site.class.open.floor`; empty for the file itself.
    pub path: String,
    pub what: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for Error {}

/// A settings file's top: fields checked one by one by their ranges, then together.
pub trait Settings: DeserializeOwned + Validate<Context = ()> {
    /// What holds between fields: (path, what would be right).
    fn together(&self) -> Vec<(String, String)>;
}

/// A file's name and what is in it.
struct Source {
    name: String,
    text: String,
}

/// Reads and checks a file. All that is wrong with its values is told at once. A file may name another one of its
/// folder with `include`: what it says itself goes before what that one says, block by block.
pub fn read<T: Settings>(file: &Path) -> Result<T, Vec<Error>> {
    let own = source(file)?;
    let included = match included(&own)? {
        None => None,
        Some(name) => Some(source(&file.with_file_name(name))?),
    };
    check(&own, included.as_ref())
}

/// The same from text, which includes nothing; `name` stands for the file in errors.
pub fn parse<T: Settings>(name: &str, text: &str) -> Result<T, Vec<Error>> {
    check(
        &Source {
            name: name.to_string(),
            text: text.to_string(),
        },
        None,
    )
}

fn source(file: &Path) -> Result<Source, Vec<Error>> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(Source { name, text }),
        Err(e) => Err(vec![Error {
            file: name,
            line: None,
            path: String::new(),
            what: e.to_string(),
        }]),
    }
}

/// The file that this one includes.
fn included(own: &Source) -> Result<Option<String>, Vec<Error>> {
    let body = syntax(own)?;
    let Some(name) = body.get_attribute("include") else {
        return Ok(None);
    };
    match name
        .value
        .as_str()
        .filter(|name| !name.contains(['/', '\\']))
    {
        Some(name) => Ok(Some(name.to_string())),
        None => Err(vec![error_in(
            own,
            "include",
            "has to name a file of the same folder".to_string(),
        )]),
    }
}

fn syntax(source: &Source) -> Result<hcl_edit::structure::Body, Vec<Error>> {
    hcl_edit::parser::parse_body(&source.text).map_err(|e| {
        let (file, line) = (source.name.clone(), Some(e.location().line()));
        vec![Error {
            file,
            line,
            path: String::new(),
            what: e.message().to_string(),
        }]
    })
}

fn error_in(source: &Source, path: &str, what: String) -> Error {
    let line = locate::line(&source.text, path).map(|(_, line)| line);
    Error {
        file: source.name.clone(),
        line,
        path: path.to_string(),
        what,
    }
}

/// `over` before `under`, block by block.
fn merge(under: Value, over: Value) -> Value {
    match (under, over) {
        (Value::Object(mut under), Value::Object(over)) => {
            for (key, value) in over {
                let merged = match under.swap_remove(&key) {
                    Some(before) => merge(before, value),
                    None => value,
                };
                under.insert(key, merged);
            }
            Value::Object(under)
        }
        (_, over) => over,
    }
}

fn check<T: Settings>(own: &Source, included: Option<&Source>) -> Result<T, Vec<Error>> {
    // Of two files, the one that has more of the path.
    let error = |path: &str, what: String| {
        let depth = |s: &Source| locate::line(&s.text, path).map_or(0, |(depth, _)| depth);
        let other = included.filter(|other| depth(other) > depth(own));
        error_in(other.unwrap_or(own), path, what)
    };
    syntax(own)?;
    let at = |e: serde_path_to_error::Error<hcl::Error>| {
        let path = e.path().to_string();
        let path = if path == "." { "" } else { &path };
        vec![error(path, e.inner().to_string())]
    };
    let read: T = match included {
        None => {
            let form = hcl::de::Deserializer::from_str(&own.text)
                .map_err(|e| vec![error("", e.to_string())])?;
            serde_path_to_error::deserialize(form).map_err(at)?
        }
        Some(other) => {
            syntax(other)?;
            let value = |s: &Source| {
                hcl::from_str::<Value>(&s.text).map_err(|e| vec![error_in(s, "", e.to_string())])
            };
            let (under, mut over) = (value(other)?, value(own)?);
            if let Some(own) = over.as_object_mut() {
                own.swap_remove("include");
            }
            let form = IntoDeserializer::<hcl::Error>::into_deserializer(merge(under, over));
            serde_path_to_error::deserialize(form).map_err(at)?
        }
    };
    let mut wrong: Vec<Error> = Vec::new();
    if let Err(report) = read.validate() {
        for (path, e) in report.iter() {
            wrong.push(error(&locate::dotted(&path.to_string()), e.to_string()));
        }
    }
    wrong.extend(
        read.together()
            .into_iter()
            .map(|(path, what)| error(&path, what)),
    );
    wrong.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    if wrong.is_empty() {
        Ok(read)
    } else {
        Err(wrong)
    }
}
