//! Experiments of the repository: all files parse, and the settings of all variants are accepted.

#![allow(clippy::unwrap_used)]

use azuretally_load::core::{
    experiment::{Experiment, Trigger},
    schedule::Phase,
};
use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

fn dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments")
}

fn experiments() -> Vec<(PathBuf, Experiment)> {
    let files = fs::read_dir(dir()).unwrap().map(|f| f.unwrap().path());
    let is_experiment = |f: &PathBuf| f.extension().is_some_and(|e| e == "toml");
    let files = files.filter(is_experiment).filter(|f| f.file_stem().unwrap() != "settings");
    files.map(|f| (f.clone(), Experiment::read(&f).unwrap())).collect()
}

#[test]
fn every_variant_of_every_experiment_is_accepted() {
    let experiments = experiments();
    assert!(experiments.len() >= 10, "only {} experiments found", experiments.len());
    for (file, experiment) in experiments {
        for variant in &experiment.variants {
            let deployment = experiment.deployment(variant, &dir());
            let deployment = deployment.unwrap_or_else(|e| panic!("{}: {e:?}", file.display()));
            let slots = deployment.published.services[&*experiment.service].slots;
            assert_eq!(slots, experiment.slots, "{}: {}", file.display(), variant.name);
            assert!(experiment.mix(&deployment).is_ok(), "{}", file.display());
        }
    }
}

#[test]
fn an_override_of_an_unknown_setting_is_refused() {
    let (_, experiment) = experiments().remove(0);
    for key in ["services.shop.choice", "services.till.colour", "preset.x"] {
        let mut variant = experiment.variants[0].clone();
        variant.settings.insert(key.to_owned(), toml::Value::Integer(1));
        assert!(experiment.deployment(&variant, &dir()).is_err(), "`{key}` was accepted");
    }
}

#[test]
fn overload_changes_the_rate_for_its_duration() {
    let (_, mut experiment) = experiments().remove(0);
    experiment.seconds = 9.0;
    experiment.triggers = vec![Trigger::Overload { from_s: 2.0, until_s: 5.0, factor: 3.0 }];
    let rate = 0.5 * experiment.capacity();
    let until = Duration::from_secs;
    let expected = [
        Phase { until: until(2), rate },
        Phase { until: until(5), rate: 3.0 * rate },
        Phase { until: until(9), rate },
    ];
    assert_eq!(experiment.plan(0.5).phases, expected);
}
