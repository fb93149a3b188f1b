//! The published JSON Schema of [`Terms`], and the validation of documents against it.

use crate::terms::{Class, Terms};
use serde::Serialize;
use serde_json::Value;
use std::sync::LazyLock;

/// Maximum number of errors that are reported for a document.
const MAX_ERRORS: usize = 20;

/// An error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("{pointer}: {detail}")]
pub struct ValidationError {
    /// The location in the document, as a JSON pointer.
    pub pointer: String,
    /// The violated rule.
    pub detail: String,
}

/// The JSON Schema of a tenant's terms, as published by the API.
pub fn terms_schema() -> &'static Value {
    static SCHEMA: LazyLock<Value> = LazyLock::new(|| {
        let settings = schemars::generate::SchemaSettings::draft2020_12();
        let generator = settings.into_generator();
        let mut schema: Value = generator.into_root_schema_for::<Terms>().into();
        // With its own id, references are resolved within the schema even if it is embedded in another document.
        schema["$id"] = "urn:shalewall:terms".into();
        schema
    });
    &SCHEMA
}

/// Parses terms and validates them, first against the published schema, then the relations between their fields.
pub fn parse_terms(document: &Value) -> Result<Terms, Vec<ValidationError>> {
    validate_schema(document)?;
    let terms: Terms = serde_json::from_value(document.clone()).map_err(|error| {
        vec![ValidationError {
            pointer: String::new(),
            detail: error.to_string(),
        }]
    })?;
    validate_classes(&terms)?;
    Ok(terms)
}

fn validate_schema(document: &Value) -> Result<(), Vec<ValidationError>> {
    static VALIDATOR: LazyLock<jsonschema::Validator> = LazyLock::new(|| {
        jsonschema::validator_for(terms_schema()).expect("the published schema is valid")
    });
    let errors: Vec<ValidationError> = VALIDATOR
        .iter_errors(document)
        .take(MAX_ERRORS)
        .map(|error| ValidationError {
            pointer: error.instance_path().to_string(),
            detail: error.to_string(),
        })
        .collect();
    errors_to_result(errors)
}

fn validate_classes(terms: &Terms) -> Result<(), Vec<ValidationError>> {
    let mut errors: Vec<ValidationError> = terms
        .classes
        .iter()
        .flat_map(|(name, class)| validate_class(name, class))
        .collect();
    errors.truncate(MAX_ERRORS);
    errors_to_result(errors)
}

fn validate_class(name: &str, class: &Class) -> Vec<ValidationError> {
    let name = name.replace('~', "~0").replace('/', "~1");
    let error = |field: &str, detail: &str| ValidationError {
        pointer: format!("/classes/{name}/{field}"),
        detail: detail.to_string(),
    };
    let mut errors = Vec::new();
    if class
        .highest_rung
        .is_some_and(|highest| highest < class.lowest_rung)
    {
        errors.push(error("top", "has to be the floor or above"));
    }
    if class.latency_objective_ms > class.deadline_ms {
        errors.push(error("aim_ms", "has to be within give_up_ms"));
    }
    errors
}

fn errors_to_result(errors: Vec<ValidationError>) -> Result<(), Vec<ValidationError>> {
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}
