//! The text of a settings file, with locations of its paths.

use crate::error::{Error, Location, Problem};
use crate::locate;
use hcl_edit::structure::Body;
use std::path::Path;

/// Name and text of a file.
pub(crate) struct Source {
    name: String,
    text: String,
}

impl Source {
    /// Creates a source from a text. Errors use `name` as the file's name.
    pub(crate) fn new(name: &str, text: &str) -> Source {
        Source {
            name: name.to_string(),
            text: text.to_string(),
        }
    }

    /// Reads a file.
    pub(crate) fn read(file: &Path) -> Result<Source, Error> {
        let name = file.display().to_string();
        match std::fs::read_to_string(file) {
            Ok(text) => Ok(Source { name, text }),
            Err(error) => Err(Error {
                location: Location {
                    file: name,
                    line: None,
                    path: String::new(),
                },
                problem: Problem::Unreadable(error.to_string()),
            }),
        }
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Parses the text as HCL.
    pub(crate) fn body(&self) -> Result<Body, Error> {
        hcl_edit::parser::parse_body(&self.text).map_err(|error| Error {
            location: Location {
                file: self.name.clone(),
                line: Some(error.location().line()),
                path: String::new(),
            },
            problem: Problem::Syntax(error.message().to_string()),
        })
    }

    /// Name of the file in the same folder that this one includes, if any.
    pub(crate) fn include(&self) -> Result<Option<String>, Error> {
        let body = self.body()?;
        let Some(include) = body.get_attribute("include") else {
            return Ok(None);
        };
        let name = include.value.as_str();
        match name.filter(|name| !name.contains(['/', '\\'])) {
            Some(name) => Ok(Some(name.to_string())),
            None => Err(self.error_at("include", Problem::IncludeOutsideFolder)),
        }
    }

    /// Number of leading parts of a path that this text contains.
    pub(crate) fn depth_of(&self, path: &str) -> usize {
        locate::find(&self.text, path).map_or(0, |found| found.depth)
    }

    /// Creates an error at a path of this text.
    pub(crate) fn error_at(&self, path: &str, problem: Problem) -> Error {
        Error {
            location: Location {
                file: self.name.clone(),
                line: locate::find(&self.text, path).map(|found| found.line),
                path: path.to_string(),
            },
            problem,
        }
    }
}
