//! Reads and validates a file with the file that it includes.

use crate::error::{Error, Problem};
use crate::locate;
use crate::rule::Violation;
use crate::source::Source;
use garde::Validate;
use hcl::Value;
use serde::de::{DeserializeOwned, IntoDeserializer};
use std::path::Path;

/// The top level of a settings file. The ranges of single fields are checked first, then rules between fields.
pub trait SettingsFile: DeserializeOwned + Validate<Context = ()> {
    /// The rules between fields that the file violates.
    fn violations(&self) -> Vec<Violation>;
}

/// Reads and validates a file. All invalid values are reported together. A file may include another one from the same
/// folder with `include`; its own values override those of the included file, block by block.
pub fn read<T: SettingsFile>(file: &Path) -> Result<T, Vec<Error>> {
    let read_sources = || {
        let own = Source::read(file)?;
        let included = match own.include()? {
            None => None,
            Some(name) => Some(Source::read(&file.with_file_name(name))?),
        };
        Ok(Sources { own, included })
    };
    read_sources().map_err(|error| vec![error])?.check()
}

/// Reads and validates a text, which must not include a file. Errors use `name` as the file's name.
pub fn parse<T: SettingsFile>(name: &str, text: &str) -> Result<T, Vec<Error>> {
    let own = Source::new(name, text);
    let included = None;
    Sources { own, included }.check()
}

/// A file and the one that it includes.
struct Sources {
    own: Source,
    included: Option<Source>,
}

impl Sources {
    fn check<T: SettingsFile>(&self) -> Result<T, Vec<Error>> {
        let settings: T = self.deserialize().map_err(|error| vec![error])?;
        let mut errors = self.range_errors(&settings);
        let violations = settings.violations();
        errors.extend(violations.into_iter().map(|violation| {
            let problem = Problem::Rule(violation.rule);
            self.error_at(&violation.path, problem)
        }));
        errors.sort_by(|a, b| {
            let (a, b) = (&a.location, &b.location);
            (&a.file, a.line).cmp(&(&b.file, b.line))
        });
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    fn deserialize<T: SettingsFile>(&self) -> Result<T, Error> {
        self.own.body()?;
        let schema_error = |error: serde_path_to_error::Error<hcl::Error>| {
            let path = error.path().to_string();
            let path = if path == "." { "" } else { &path };
            self.error_at(path, Problem::Schema(error.inner().to_string()))
        };
        match &self.included {
            None => {
                let deserializer = hcl::de::Deserializer::from_str(self.own.text())
                    .map_err(|error| self.error_at("", Problem::Schema(error.to_string())))?;
                serde_path_to_error::deserialize(deserializer).map_err(schema_error)
            }
            Some(included) => {
                included.body()?;
                let merged = merge(value_of(included)?, without_include(value_of(&self.own)?));
                let deserializer = IntoDeserializer::<hcl::Error>::into_deserializer(merged);
                serde_path_to_error::deserialize(deserializer).map_err(schema_error)
            }
        }
    }

    fn range_errors<T: SettingsFile>(&self, settings: &T) -> Vec<Error> {
        let Err(report) = settings.validate() else {
            return Vec::new();
        };
        let outside = report.iter().map(|(path, error)| {
            let path = locate::file_path(&path.to_string());
            self.error_at(&path, Problem::Range(error.to_string()))
        });
        outside.collect()
    }

    /// Creates an error in the file that contains more parts of the path; in the including file if both contain the
    /// same number.
    fn error_at(&self, path: &str, problem: Problem) -> Error {
        let own_depth = self.own.depth_of(path);
        let deeper = self.included.as_ref();
        let deeper = deeper.filter(|included| included.depth_of(path) > own_depth);
        deeper.unwrap_or(&self.own).error_at(path, problem)
    }
}

fn value_of(source: &Source) -> Result<Value, Error> {
    hcl::from_str(source.text())
        .map_err(|error| source.error_at("", Problem::Schema(error.to_string())))
}

fn without_include(mut value: Value) -> Value {
    if let Some(fields) = value.as_object_mut() {
        fields.swap_remove("include");
    }
    value
}

/// Merges two values block by block; `over` takes precedence.
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
