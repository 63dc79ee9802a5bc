//! Limits on the decision module's size and width, and on where decisions stand.

const BRAIN: &str = include_str!("../src/module/brain.rs");

#[test]
fn the_module_is_compact() {
    let lines = BRAIN.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 950, "src/module/brain.rs has {lines} lines that are not blank, 950 at most");
    assert!(lines > 100, "src/module/brain.rs seems to have moved");
}

#[test]
fn lines_are_narrow() {
    for (n, line) in BRAIN.lines().enumerate() {
        assert!(line.chars().count() <= 110, "src/module/brain.rs line {} is wider than 110 columns", n + 1);
    }
}

#[test]
fn the_interface_is_named_at_the_top() {
    let top: Vec<&str> = BRAIN.lines().take(3).collect();
    assert!(top.join(" ").contains("src/module/api.rs"));
}
