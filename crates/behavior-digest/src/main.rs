//! `shalewall-behavior-digest` prints one digest for each part of the project that runs without I/O.
//!
//! Each part feeds pseudo-random inputs of fixed seeds to one crate and hashes all outputs. A change that preserves
//! behaviour, such as a rename, preserves every digest. Identifiers and log texts are not hashed.

mod decisions;
mod encoder;
mod engine;
mod platform_protocol;
mod random;
mod scenes;

use encoder::{Encoder, PartDigest};

/// A part's name and the function that runs all of its cases.
type Part = (&'static str, fn() -> PartDigest);

const PARTS: [Part; 4] = [
    ("decisions", decisions::digest),
    ("platform-protocol", platform_protocol::digest),
    ("engine", engine::digest),
    ("scenes", scenes::digest),
];

fn print_line(name: &str, part: &PartDigest) {
    println!(
        "{name:<18} {:>8} {:>10}  {}",
        part.cases, part.outputs, part.digest
    );
}

fn main() {
    let mut total = Encoder::new();
    for (name, run) in PARTS {
        let part = run();
        print_line(name, &part);
        total.part(&part);
    }
    print_line("total", &total.finish());
}
