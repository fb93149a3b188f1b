//! Reads values of a day file by their paths, so that an error can name the path.

use super::error::{ImportError, ValueProblem};
use serde_json::Value;

/// Microseconds per millisecond; times in day files are in microseconds.
const MICROS_PER_MILLI: f64 = 1000.0;

/// A value and its path.
pub(super) struct Reader<'v> {
    value: &'v Value,
    path: String,
}

impl<'v> Reader<'v> {
    /// Reader of the root value.
    pub(super) fn new(value: &'v Value) -> Reader<'v> {
        Reader {
            value,
            path: String::new(),
        }
    }

    /// Field of an object, or entry of a list by its index; null if it does not exist.
    pub(super) fn at(&self, name: &str) -> Reader<'v> {
        static NULL: Value = Value::Null;
        let value = match name.parse::<usize>() {
            Ok(index) => self.value.get(index),
            Err(_) => self.value.get(name),
        };
        Reader {
            value: value.unwrap_or(&NULL),
            path: format!("{}/{name}", self.path),
        }
    }

    /// Entry of a list by its index.
    pub(super) fn entry(&self, index: usize) -> Reader<'v> {
        self.at(&index.to_string())
    }

    /// Creates an error with the path of this value.
    pub(super) fn error(&self, problem: ValueProblem) -> ImportError {
        ImportError::Value {
            path: self.path.clone(),
            problem,
        }
    }

    pub(super) fn is_null(&self) -> bool {
        self.value.is_null()
    }

    /// Unsigned integer, or `None` for any other value.
    pub(super) fn whole_number(&self) -> Option<u64> {
        self.value.as_u64()
    }

    pub(super) fn number(&self) -> Result<f64, ImportError> {
        let number = self.value.as_f64().filter(|number| number.is_finite());
        number.ok_or_else(|| self.error(ValueProblem::NotANumber))
    }

    /// Time in milliseconds, converted from the day file's microseconds.
    pub(super) fn millis(&self) -> Result<f64, ImportError> {
        Ok(self.number()? / MICROS_PER_MILLI)
    }

    pub(super) fn text(&self) -> Result<String, ImportError> {
        match self.value.as_str() {
            Some(text) => Ok(text.to_string()),
            None => Err(self.error(ValueProblem::NotAText)),
        }
    }

    /// Boolean; any other value counts as false.
    pub(super) fn flag(&self) -> bool {
        self.value.as_bool().unwrap_or(false)
    }

    pub(super) fn list(&self) -> Result<Vec<Reader<'v>>, ImportError> {
        match self.value.as_array() {
            Some(list) => Ok((0..list.len()).map(|index| self.entry(index)).collect()),
            None => Err(self.error(ValueProblem::NotAList)),
        }
    }

    pub(super) fn numbers(&self) -> Result<Vec<f64>, ImportError> {
        self.list()?.iter().map(Reader::number).collect()
    }

    pub(super) fn texts(&self) -> Result<Vec<String>, ImportError> {
        self.list()?.iter().map(Reader::text).collect()
    }
}
