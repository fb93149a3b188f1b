//! Errors contain file, line, path and the allowed values.

use shalewall_settings::{DayPlan, Error, ServerConfig, parse};

fn day() -> String {
    std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../days/bad-day.hcl"
    ))
    .unwrap()
}

fn errors(text: &str) -> Vec<Error> {
    parse::<DayPlan>("x.hcl", text).expect_err("the day is invalid")
}

/// The day with one text replaced, and the line number of the replacement.
fn changed(from: &str, to: &str) -> (String, usize) {
    let text = day();
    let at = text
        .find(from)
        .unwrap_or_else(|| panic!("{from} is not in the day"));
    let line = text[..at].matches('\n').count() + 1;
    (text.replacen(from, to, 1), line)
}

#[test]
fn the_day_is_valid_and_converts_to_settings() {
    let plan: DayPlan = parse("x.hcl", &day()).unwrap();
    assert_eq!(plan.faults.len(), 8);
    let front = r#"
        front {
          listen = "127.0.0.1:0"
          list = "127.0.0.1:4000"
          number = 1
          directors = 3
          zone = "east"
        }
    "#;
    let site = day();
    let (from, to) = (site.find("site {").unwrap(), site.find("fleet {").unwrap());
    let plan: ServerConfig = parse("y.hcl", &format!("{front}{}", &site[from..to])).unwrap();
    let module_settings = plan.site.settings(&plan.front);
    assert_eq!(
        (
            module_settings.director_index,
            module_settings.zone,
            module_settings.classes.len(),
            module_settings.ladder.len()
        ),
        (1, Some(2), 2, 5)
    );
    // A round trip through HCL preserves the settings. This is how a scripted day passes them to each director.
    let text = hcl::to_string(&plan).unwrap();
    let reparsed: ServerConfig = parse("z.hcl", &text).unwrap();
    assert_eq!(reparsed.site.settings(&reparsed.front), module_settings);
}

#[test]
fn each_error_contains_its_line_and_path() {
    let table = [
        ("seconds        = 45", "seconds = 0", "day.seconds"),
        ("floor      = 1", "floor = 9", "site.class.report.floor"),
        (
            "paid       = false",
            "paid = \"no\"",
            "site.class.room.paid",
        ),
        (
            "start_capacity  = 0.4",
            "start_capacity = 40",
            "site.rules.start_capacity",
        ),
        (
            "per_request = 0.3",
            "per_request = -1",
            "site.rules.further.per_request",
        ),
        (
            "set_up_ms    = 60",
            "set_up_ms = 60\n  set_up_s = 1",
            "fleet",
        ),
        (
            "at_s  = 12",
            "at_s  = 44",
            "trouble.two boxes stand still.len_s",
        ),
        (
            "stall_ms = 1500",
            "stall_ms = 0",
            "trouble.one director stands still.stall_ms",
        ),
        ("home   = 12", "home = 15", "site.title.summer.home"),
        (
            "mix        = { report = 0.4",
            "mix        = { reports = 0.4",
            "load.mix",
        ),
        (
            "kind  = \"hang\"",
            "kind = \"hung\"",
            "trouble.two boxes stand still.kind",
        ),
    ];
    for (from, to, path) in table {
        let (text, line) = changed(from, to);
        let found = errors(&text);
        let one = found
            .iter()
            .find(|e| e.location.path.starts_with(path))
            .unwrap_or_else(|| panic!("{path}: {found:?}"));
        assert_eq!(one.location.file, "x.hcl");
        let distance = one.location.line.unwrap_or(0).abs_diff(line);
        assert!(
            distance <= 12,
            "{path}: line {:?}, changed was {line}: {one}",
            one.location.line
        );
        assert!(!one.problem.to_string().is_empty());
    }
    let exact = [
        "day.seconds",
        "site.rules.start_capacity",
        "site.class.report.floor",
    ];
    for (from, to, path) in table.iter().filter(|(_, _, p)| exact.contains(p)) {
        let (text, line) = changed(from, to);
        assert_eq!(errors(&text)[0].location.line, Some(line), "{path}");
    }
}

#[test]
fn invalid_hcl_is_reported_with_its_line() {
    let found = errors("day {\n  seconds = = 4\n}\n");
    assert_eq!(found[0].location.line, Some(2), "{}", found[0]);
    assert!(
        errors("")
            .iter()
            .any(|e| e.problem.to_string().contains("day")),
        "the missing block is named"
    );
}

#[test]
fn all_errors_are_reported_together() {
    let (text, _) = changed("per_s      = 9", "per_s = 0");
    let text = text.replacen("nodes        = 15", "nodes = 0", 1).replacen(
        "seats      = 12",
        "seats = 12\n    top = 0",
        1,
    );
    assert_eq!(errors(&text).len(), 3);
}

#[test]
fn errors_name_the_including_or_the_included_file() {
    let dir = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        std::fs::write(dir.path().join(name), text).unwrap();
        dir.path().join(name)
    };
    let text = day();
    let at = text.find("trouble ").unwrap();
    file("house.hcl", &text[..at]);
    let locations = |own: &str| {
        let found = shalewall_settings::read::<DayPlan>(&file("own.hcl", own)).expect_err("wrong");
        let short = |e: &Error| {
            (
                e.location.file.rsplit('/').next().unwrap().to_string(),
                e.location.line,
                e.location.path.clone(),
            )
        };
        found.iter().map(short).collect::<Vec<_>>()
    };
    // The file's own values override the included ones, block by block.
    let own = "include = \"house.hcl\"\n\nday {\n  seconds = 7\n}\n";
    let plan: DayPlan = shalewall_settings::read(&file("own.hcl", own)).unwrap();
    let whole: DayPlan = parse("x.hcl", &text).unwrap();
    assert_eq!(
        (plan.day.seconds, plan.day.seed, plan.faults.len()),
        (7.0, whole.day.seed, 0)
    );
    assert_eq!(plan.site.classes.len(), whole.site.classes.len());
    let own = |what: &str| format!("include = \"house.hcl\"\n\n{what}\n");
    assert_eq!(
        locations(&own("day {\n  seconds = 0\n}")),
        [("own.hcl".into(), Some(4), "day.seconds".into())]
    );
    assert_eq!(locations(&own("day {\n  secs = 1\n}"))[0].0, "own.hcl");
    // The invalid value is in the included file.
    let line = text[..text.find("floor      = 1").unwrap()]
        .matches('\n')
        .count()
        + 1;
    file(
        "house.hcl",
        &text[..at].replacen("floor      = 1", "floor = 9", 1),
    );
    assert_eq!(
        locations(&own("")),
        [(
            "house.hcl".into(),
            Some(line),
            "site.class.report.floor".into()
        )]
    );
    assert_eq!(
        locations("include = \"../x.hcl\"\n"),
        [("own.hcl".into(), Some(1), "include".into())]
    );
    assert_eq!(locations("include = \"none.hcl\"\n")[0].0, "none.hcl");
}
