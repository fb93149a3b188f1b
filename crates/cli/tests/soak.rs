//! Soak of director processes under faults that overlap in time. CI runs a few seeds; a long run is started by hand with
//! `SOAK_SEEDS` (number of seeds) and `SOAK_FIRST_SEED`. `SOAK_LOGS` names a directory that keeps the directors' logs,
//! and `SOAK_BINARY` another version of the program, which a soak of the same seeds may convict.

use shalewall_test_harness::soak::{SoakPlan, run};
use std::path::{Path, PathBuf};
use std::time::Duration;

const DEFAULT_SEEDS: u64 = 4;
const DEFAULT_FIRST_SEED: u64 = 1;

fn number_from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn log_directory(seed: u64) -> Option<PathBuf> {
    let logs = std::env::var_os("SOAK_LOGS")?;
    let dir = Path::new(&logs).join(format!("seed-{seed}"));
    std::fs::create_dir_all(&dir).unwrap();
    Some(dir)
}

fn binary() -> PathBuf {
    let other = std::env::var_os("SOAK_BINARY");
    other.map_or(env!("CARGO_BIN_EXE_shalewall").into(), PathBuf::from)
}

#[test]
fn soak_loses_no_request_and_breaks_no_rule() {
    let first = number_from_environment("SOAK_FIRST_SEED", DEFAULT_FIRST_SEED);
    let seeds = number_from_environment("SOAK_SEEDS", DEFAULT_SEEDS);
    let mut failed = Vec::new();
    for seed in first..first + seeds {
        let temporary = tempfile::tempdir().unwrap();
        let dir = log_directory(seed).unwrap_or(temporary.path().to_path_buf());
        let plan = SoakPlan {
            seed,
            directors: 10,
            connections: 3,
            duration: Duration::from_secs(10),
        };
        let outcome = run(&binary(), &dir, plan).unwrap();
        let findings = &outcome.findings;
        println!(
            "seed {seed}: {} requests, {} served, {} excused, {} lost, {} violations, {} crashes",
            findings.requests,
            findings.served,
            findings.excused,
            findings.lost.len(),
            outcome.violations.len(),
            outcome.crashes.len()
        );
        if !outcome.holds() {
            println!("{outcome:#?}");
            failed.push(seed);
        }
        assert!(findings.served > 100, "nothing was tested");
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}
