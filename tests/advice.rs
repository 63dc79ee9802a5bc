//! The remarks that `check` makes about settings that are omitted or contradict one another.

use amberspindle::records::advice;

const EXAMPLE: &str = include_str!("../deploy/operator.toml");

/// Returns the remarks on the example configuration with one line replaced.
fn advice_with(line: &str, replacement: &str) -> Vec<String> {
    assert!(EXAMPLE.contains(line), "the example has no {line}");
    advice("operator.toml", &EXAMPLE.replacen(line, replacement, 1))
}

fn mentions(remarks: &[String], field: &str, text: &str) -> bool {
    remarks.iter().any(|remark| remark.contains(field) && remark.contains(text))
}

#[test]
fn example_configuration_draws_no_remarks() {
    assert_eq!(advice("operator.toml", EXAMPLE), Vec::<String>::new());
}

#[test]
fn remarks_on_omitted_settings_with_their_effect() {
    assert!(mentions(&advice_with("Cold = 12000.0\n", ""), "settings.Rules", "as much as others"));
    assert!(mentions(&advice_with("ReportsEvery = 3250.0\n", ""), "settings.FamilyInfo", "no notes"));
    assert!(mentions(&advice_with("MaxRetryAfter = 500.0\n", ""), "settings.Limits", "name no time"));
    assert!(mentions(&advice_with("Keepalive = 30000.0\n", ""), "settings.Limits", "idle connections"));
    let fields = r#"Fields = ["busy", "x1"]"#;
    assert!(mentions(&advice_with(fields, r#"Fields = ["x0"]"#), "settings.Report", "estimated"));
    assert!(mentions(&advice_with(fields, "Fields = []"), "settings.Report", "estimated"));
}

#[test]
fn remarks_on_contradictions_with_their_line() {
    let late_slo = advice_with("Slo = 1000.0", "Slo = 9000.0");
    assert!(mentions(&late_slo, "settings.RequestClasses[1].Slo", "later than its viewers wait"));
    assert!(late_slo[0].starts_with("operator.toml:"), "{late_slo:?}");
    assert!(mentions(&advice_with("SlotNo = 0", "SlotNo = 1"), "settings.SlotNo", "not below Instances"));
    assert!(mentions(&advice_with("Locality = 0", "Locality = 1"), "settings.Locality", "no zone"));
    assert!(mentions(
        &advice_with("ColdFrom = 0.4", "ColdFrom = 1.4"),
        "settings.Rules.ColdFrom",
        "between 0 and 1"
    ));
    assert!(mentions(&advice_with("Guard = 1.0", "Guard = -1.0"), "settings.FamilyInfo.Guard", "below 0"));
    let slow_reports = advice_with("ReportsEvery = 3250.0", "ReportsEvery = 6500.0");
    assert!(mentions(&slow_reports, "settings.FamilyInfo.ReportsEvery", "before its notes are overdue"));
}

#[test]
fn unreadable_file_draws_no_remarks() {
    assert_eq!(advice("operator.toml", "name = "), Vec::<String>::new());
}
