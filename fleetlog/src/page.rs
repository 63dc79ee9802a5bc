//! One self-contained HTML page with plots.

use plotters::prelude::*;

use crate::counts::Column;
use crate::fold::{Fold, Row};
use crate::spread;
use crate::table::{self, By, Table, ratio};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 280);

/// A line of a plot: its name and its points.
type Line = (&'static str, Vec<(f64, f64)>);

fn plot(title: &str, lines: &[Line]) -> Result<String, String> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter());
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(0.0, f64::max).max(1e-3) * 1.05;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let bad = |e: &dyn std::fmt::Display| e.to_string();
        root.fill(&WHITE).map_err(|e| bad(&e))?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(|e| bad(&e))?;
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw().map_err(|e| bad(&e))?;
        for (i, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
                .map_err(|e| bad(&e))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK.mix(0.3))
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(|e| bad(&e))?;
        root.present().map_err(|e| bad(&e))?;
    }
    Ok(svg)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn shown(table: &Table) -> String {
    format!("<pre>{}</pre>", escaped(&table.text()))
}

/// The page, or why it can't be drawn.
pub fn page(fold: &Fold, title: &str) -> Result<String, String> {
    let first = fold.times().next().map_or(0, |(at, _)| at);
    let width = fold.width() as f64;
    let line = |name: &'static str, of: &dyn Fn(&Row) -> Option<f64>| -> Line {
        let points = fold.times().filter_map(|(at, row)| Some(((at - first) as f64, of(row)?)));
        (name, points.collect())
    };
    let each = |name, column: Column| line(name, &move |row| Some(row.counts.get(column) as f64 / width));
    let plots = [
        (
            "A second: requests, attempts, sessions set up, answers that a server is full",
            vec![
                each("offered", Column::Offered),
                each("tries", Column::Tries),
                each("set up", Column::Plays),
                each("full", Column::Full),
            ],
        ),
        (
            "A second: connections opened",
            vec![
                each("for set-ups", Column::DialSetUp),
                each("for notes", Column::DialNotes),
                each("to check", Column::DialCheck),
            ],
        ),
        (
            "Rungs under the highest, at set-up",
            vec![line("rungs", &|row| table::rungs_under_top(&row.counts))],
        ),
        (
            "How unevenly sessions fall on servers",
            vec![
                line("Gini", &|row| spread::gini(&fold.by_server(row))),
                line("most over mean / 10", &|row| Some(spread::max_over_mean(&fold.by_server(row))? / 10.0)),
            ],
        ),
        (
            "Attempts at servers never heard, and mean age of the last word of others, s",
            vec![
                line("never heard", &|row| ratio(row.age.never, row.age.heard + row.age.never)),
                line("age", &|row| Some(ratio(row.age.sum_ms, row.age.heard)? / 1000.0)),
            ],
        ),
    ];
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title><style>body{{font-family:\
         sans-serif;margin:2em}}pre{{overflow-x:auto;font-size:12px}}</style></head><body><h1>{0}</h1>\n",
        escaped(title)
    );
    for (title, lines) in plots {
        html += &plot(title, &lines)?;
    }
    html += &format!("<h2>The fleet</h2>{}", shown(&table::summary(fold)));
    for (name, by) in [
        ("Classes", By::Class),
        ("Tenants", By::Tenant),
        ("Zones", By::Zone),
        ("Titles", By::Title),
        ("Servers", By::Server),
        ("Seconds", By::Second),
    ] {
        html += &format!("<h2>{name}</h2>{}", shown(&table::by(fold, by)));
    }
    html += "</body></html>\n";
    Ok(html)
}
