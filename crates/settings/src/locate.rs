//! Where in a file a path is, so that an error can name the line.

use crate::field_names::file_name;
use hcl_edit::Span;
use hcl_edit::structure::{Block, Body, Structure};

/// The deepest part of a path that a text has.
pub(crate) struct Found {
    /// How many parts of the path the text has.
    pub depth: usize,
    /// The line of the last of them, from 1.
    pub line: usize,
}

/// A path of validation as files have it. Validation paths come as `a.b[c].d`, with the names of the code for fields
/// and the file's own names in brackets; elsewhere they are `a.b.c.d`.
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

/// Looks for a path in a text; none where the text is not HCL.
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

/// As [`Found`], by the offset in bytes.
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

/// Whether the labels of a block are the next parts of the path.
fn is_named(block: &Block, rest: &[&str]) -> bool {
    let mut labels = block.labels.iter().zip(rest);
    labels.all(|(label, part)| label.as_str() == *part)
}

/// The block itself, or what is deeper in it.
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
