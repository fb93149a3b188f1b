//! Viewers, nodes and the endpoint list take random steps in any order, sockets accept all, half or none of their
//! bytes, and the invariants are checked after each step. A failing case is kept as a named test in the file of its
//! topic.

mod common;
mod model;
mod steps;

use model::Model;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steps::step;

/// Number of cases in CI, with a fixed seed. PROPTEST_CASES sets another number of cases with a random seed.
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
    fn random_steps_keep_the_invariants(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
            model.check()?;
        }
        model.settle()?;
    }
}
