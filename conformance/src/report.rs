//! Reports of a run: for people, as JSON, and as JUnit.

use clap::ValueEnum;
use quick_junit::{NonSuccessKind, Report as JUnit, TestCase, TestCaseStatus, TestSuite};
use serde::Serialize;

use crate::cases::{CASES, Endpoint, Outcome};

/// How a report is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// A line for each case.
    #[default]
    Text,
    /// One JSON object.
    Json,
    /// JUnit's XML.
    Junit,
}

/// A case and what came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// The case's name.
    pub name: &'static str,
    /// The words that it holds an endpoint to.
    pub source: &'static str,
    /// `passed`, `failed` or `skipped`.
    pub outcome: &'static str,
    /// What was seen, or why it was skipped.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub seen: String,
}

/// What a run found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The cases, in order.
    pub cases: Vec<Line>,
}

impl Report {
    /// Runs the cases whose names hold a text.
    pub fn run(endpoint: &Endpoint, only: &str) -> Report {
        let line = |case: &crate::cases::Case| {
            let (outcome, seen) = match case.run(endpoint) {
                Outcome::Passed => ("passed", String::new()),
                Outcome::Failed(seen) => ("failed", seen),
                Outcome::Skipped(why) => ("skipped", why),
            };
            Line { name: case.name, source: case.source, outcome, seen }
        };
        Report { cases: CASES.iter().filter(|c| c.name.contains(only)).map(line).collect() }
    }

    /// Cases of an outcome.
    pub fn count(&self, outcome: &str) -> usize {
        self.cases.iter().filter(|c| c.outcome == outcome).count()
    }

    /// The report's text.
    pub fn write(&self, format: Format) -> String {
        match format {
            Format::Json => serde_json::to_string_pretty(self).unwrap_or_default(),
            Format::Junit => self.junit(),
            Format::Text => {
                let mut text = String::new();
                for case in &self.cases {
                    text += &format!("{:<8}{}", case.outcome, case.name);
                    if !case.seen.is_empty() {
                        text += &format!(": {} ({})", case.seen, case.source);
                    }
                    text.push('\n');
                }
                let (passed, failed) = (self.count("passed"), self.count("failed"));
                text + &format!("{passed} passed, {failed} failed, {} skipped", self.count("skipped"))
            }
        }
    }

    fn junit(&self) -> String {
        let mut suite = TestSuite::new("whip-whep");
        for case in &self.cases {
            let mut status = match case.outcome {
                "passed" => TestCaseStatus::success(),
                "failed" => TestCaseStatus::non_success(NonSuccessKind::Failure),
                _ => TestCaseStatus::skipped(),
            };
            status.set_message(case.seen.clone());
            suite.add_test_case(TestCase::new(case.name, status));
        }
        let mut report = JUnit::new("amberspindle-conformance");
        report.add_test_suite(suite);
        report.to_string().unwrap_or_default()
    }
}
