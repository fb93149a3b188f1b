//! The cases of the second review: `review-case NAME ROOT FOLDER RECORD`. The exit status is 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod at_limit;
mod flood;
mod handed_over;
mod platform;
mod ration;
mod short_length;
mod taken_back;

use platform::Record;
use std::path::{Path, PathBuf};

/// What a case has to know.
pub struct Case {
    /// The repository's root.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    pub rec: std::sync::Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, folder, record] = &arguments[..] else {
        eprintln!("usage: review-case NAME ROOT FOLDER RECORD");
        std::process::exit(2);
    };
    let case = Case {
        root: PathBuf::from(root),
        folder: PathBuf::from(folder),
        rec: Record::create(Path::new(record)),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    case.rec
        .say(format!("case {name}, trouble: {}", case.trouble));
    // A case that takes too long could not run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        platform::end_processes();
        std::process::exit(2);
    });
    let verdict = match name.as_str() {
        "at_limit" => at_limit::run(&case),
        "handed_over" => handed_over::run(&case),
        "flood" => flood::run(&case),
        "ration" => ration::run(&case),
        "short_length" => short_length::run(&case),
        "taken_back" => taken_back::run(&case),
        _ => Err(format!("no case {name}")),
    };
    let status = match verdict {
        Ok(broken) if broken.is_empty() => {
            case.rec.say("held");
            println!("held");
            0
        }
        Ok(broken) => {
            for line in &broken {
                case.rec.say(format!("BROKEN: {line}"));
                println!("broken: {line}");
            }
            1
        }
        Err(error) => {
            case.rec.say(format!("could not run: {error}"));
            println!("could not run: {error}");
            2
        }
    };
    platform::end_processes();
    std::process::exit(status);
}
