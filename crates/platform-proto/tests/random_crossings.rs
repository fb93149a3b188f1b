//! Random crossings: viewers, nodes and the endpoint list do what they may in any order, sockets take what they are
//! given, half of it or nothing, and after each step what must hold is checked. A failing case is kept as a named test
//! in the file of its concern.

mod common;
mod model;
mod steps;

use model::Model;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steps::step;

/// Cases in CI, of a fixed seed and so the same each time. PROPTEST_CASES asks for other cases and another number.
const DEFAULT_CASES: u32 = 400;
const DEFAULT_SEED: u64 = 39;

fn test_config() -> ProptestConfig {
    let requested_cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|count| count.parse().ok());
    let rng_seed = if requested_cases.is_some() {
        RngSeed::Random
    } else {
        RngSeed::Fixed(DEFAULT_SEED)
    };
    ProptestConfig {
        failure_persistence: None,
        rng_seed,
        ..ProptestConfig::with_cases(requested_cases.unwrap_or(DEFAULT_CASES))
    }
}

proptest! {
    #![proptest_config(test_config())]
    #[test]
    fn random_crossings_keep_the_invariants(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model::new();
        for step in &steps {
            model.take(step);
            model.check()?;
        }
        model.settle()?;
    }
}
