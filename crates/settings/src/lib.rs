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
    Admin, AdminPlan, Class, Costs, Front, FrontPlan, Further, Hosting, Kind, Layout, Limits, Link, Notes,
    Rules, Site, Step, Tenant, Title, us,
};

use garde::Validate;
use serde::de::DeserializeOwned;
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

/// Reads and checks a file. All that is wrong with its values is told at once.
pub fn read<T: Settings>(file: &Path) -> Result<T, Vec<Error>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| {
        vec![Error { file: name.clone(), line: None, path: String::new(), what: e.to_string() }]
    })?;
    parse(&name, &text)
}

/// The same from text; `name` stands for the file in errors.
pub fn parse<T: Settings>(name: &str, text: &str) -> Result<T, Vec<Error>> {
    let error = |path: &str, what: String| {
        let line = locate::line(text, path);
        Error { file: name.to_string(), line, path: path.to_string(), what }
    };
    let body = hcl_edit::parser::parse_body(text).map_err(|e| {
        let line = Some(e.location().line());
        vec![Error { file: name.to_string(), line, path: String::new(), what: e.message().to_string() }]
    })?;
    drop(body);
    let form = hcl::de::Deserializer::from_str(text).map_err(|e| vec![error("", e.to_string())])?;
    let read: T = serde_path_to_error::deserialize(form).map_err(|e| {
        let path = e.path().to_string();
        let path = if path == "." { "" } else { &path };
        vec![error(path, e.inner().to_string())]
    })?;
    let mut wrong: Vec<Error> = Vec::new();
    if let Err(report) = read.validate() {
        for (path, e) in report.iter() {
            wrong.push(error(&locate::dotted(&path.to_string()), e.to_string()));
        }
    }
    wrong.extend(read.together().into_iter().map(|(path, what)| error(&path, what)));
    wrong.sort_by_key(|e| e.line);
    if wrong.is_empty() { Ok(read) } else { Err(wrong) }
}
