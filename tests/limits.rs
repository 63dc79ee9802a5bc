//! Limits on the size and width of the files that decide, and on where decisions stand.

use std::path::Path;

/// No file is longer: each holds one kind of decision.
const MOST_LINES: usize = 250;
/// No line of them is wider.
const MOST_COLUMNS: usize = 110;

/// The files that `deploy/balancer.toml` lists under `policy`, with their texts.
fn policy() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let deploy: toml::Table = deploy.parse().unwrap();
    let files = deploy["policy"].as_array().unwrap().iter().map(|file| file.as_str().unwrap().to_owned());
    files.map(|file| (file.clone(), std::fs::read_to_string(root.join(&file)).unwrap())).collect()
}

#[test]
fn files_that_decide_are_compact() {
    let policy = policy();
    for (file, text) in &policy {
        let lines = text.lines().count();
        assert!(lines <= MOST_LINES, "{file} has {lines} lines, {MOST_LINES} at most");
    }
    let all: usize = policy.iter().map(|(_, text)| text.lines().count()).sum();
    assert!(all > 100, "they seem to have moved");
}

#[test]
fn lines_are_narrow() {
    for (file, text) in policy() {
        for (n, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MOST_COLUMNS, "{file}:{} is wider than {MOST_COLUMNS} columns", n + 1);
        }
    }
}

/// Every file that decides is listed: what it leaves out is named here, with what it holds instead.
#[test]
fn each_file_of_the_module_is_listed_or_decides_nothing() {
    let undecided = ["demand.rs", "mod.rs", "sessions.rs", "timers.rs"];
    let listed: Vec<String> = policy().into_iter().map(|(file, _)| file).collect();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/module/brain");
    for file in std::fs::read_dir(folder).unwrap().flatten() {
        let name = file.file_name().into_string().unwrap();
        let is_listed = listed.contains(&format!("src/module/brain/{name}"));
        assert!(is_listed != undecided.contains(&name.as_str()), "{name}: listed: {is_listed}");
    }
}

#[test]
fn the_interface_is_named_at_the_top() {
    let top: Vec<&str> = include_str!("../src/module/brain/mod.rs").lines().take(3).collect();
    assert!(top.join(" ").contains("src/module/api.rs"));
}
