//! Where in a file a path is, so that an error can name the line.

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

/// Validation paths come as `a.b[c].d`; elsewhere they are `a.b.c.d`.
pub fn dotted(path: &str) -> String {
    path.replace('[', ".")
        .replace(']', "")
        .trim_matches('.')
        .to_string()
}

/// How many parts of the path the file has, and the line, from 1, of the deepest one.
pub fn line(text: &str, path: &str) -> Option<(usize, usize)> {
    let body = hcl_edit::parser::parse_body(text).ok()?;
    let path = dotted(path);
    let parts: Vec<&str> = path.split('.').filter(|p| !p.is_empty()).collect();
    let (depth, at) = find(&body, &parts).unwrap_or((0, 0));
    Some((depth, text.get(..at)?.matches('\n').count() + 1))
}

fn find(body: &Body, parts: &[&str]) -> Option<(usize, usize)> {
    let (first, rest) = parts.split_first()?;
    for structure in body.iter() {
        match structure {
            Structure::Attribute(a) if a.key.as_str() == *first => {
                return a.span().map(|s| (1, s.start));
            }
            Structure::Block(b) if b.ident.as_str() == *first => {
                let labels: Vec<&str> = b.labels.iter().map(|l| l.as_str()).collect();
                let named = rest.len().min(labels.len());
                if labels[..named] != rest[..named] {
                    continue;
                }
                let start = b.span().map(|s| s.start);
                let deeper =
                    find(&b.body, &rest[named..]).map(|(depth, at)| (depth + 1 + named, at));
                return deeper.or(start.map(|at| (1 + named, at)));
            }
            _ => {}
        }
    }
    None
}
