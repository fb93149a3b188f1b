//! Finds the line of a path in a file, for error messages.

use crate::field_names::file_name;
use hcl_edit::Span;
use hcl_edit::structure::{Block, Body, Structure};

/// Location of the longest prefix of a path that occurs in a text.
pub(crate) struct Found {
    /// Number of parts in that prefix.
    pub depth: usize,
    /// Line of its last part, from 1.
    pub line: usize,
}

/// Converts a validation path to a path in files. Validation paths have the form `a.b[c].d`, with field names of the
/// code, and keys of maps in brackets; paths in files have the form `a.b.c.d`.
pub(crate) fn file_path(path: &str) -> String {
    let parts = path.split('.').map(|part| match part.split_once('[') {
        Some((field, names)) => format!("{}[{names}", file_name(field)),
        None => file_name(part).to_string(),
    });
    dotted(&parts.collect::<Vec<_>>().join("."))
}

fn dotted(path: &str) -> String {
    path.replace('[', ".")
        .replace(']', "")
        .trim_matches('.')
        .to_string()
}

/// Finds a path in a text; `None` if the text is not valid HCL.
pub(crate) fn find(text: &str, path: &str) -> Option<Found> {
    let body = hcl_edit::parser::parse_body(text).ok()?;
    let path = dotted(path);
    let parts: Vec<&str> = path.split('.').filter(|part| !part.is_empty()).collect();
    let deepest = find_in_body(&body, &parts).unwrap_or(Deepest {
        depth: 0,
        offset: 0,
    });
    let line = text.get(..deepest.offset)?.matches('\n').count() + 1;
    Some(Found {
        depth: deepest.depth,
        line,
    })
}

/// Like [`Found`], with an offset in bytes in place of the line.
struct Deepest {
    depth: usize,
    offset: usize,
}

fn find_in_body(body: &Body, parts: &[&str]) -> Option<Deepest> {
    let (first, rest) = parts.split_first()?;
    for structure in body.iter() {
        match structure {
            Structure::Attribute(attribute) if attribute.key.as_str() == *first => {
                let offset = attribute.span()?.start;
                return Some(Deepest { depth: 1, offset });
            }
            Structure::Block(block) if block.ident.as_str() == *first && is_named(block, rest) => {
                return find_in_block(block, rest);
            }
            _ => {}
        }
    }
    None
}

/// Whether a block's labels match the next parts of the path.
fn is_named(block: &Block, rest: &[&str]) -> bool {
    let mut labels = block.labels.iter().zip(rest);
    labels.all(|(label, part)| label.as_str() == *part)
}

/// Finds the path in a block; the block itself if it contains no further parts.
fn find_in_block(block: &Block, rest: &[&str]) -> Option<Deepest> {
    let labels = rest.len().min(block.labels.len());
    let own_depth = 1 + labels;
    if let Some(deeper) = find_in_body(&block.body, &rest[labels..]) {
        return Some(Deepest {
            depth: own_depth + deeper.depth,
            offset: deeper.offset,
        });
    }
    Some(Deepest {
        depth: own_depth,
        offset: block.span()?.start,
    })
}
