//! The generated part of the page.

use std::fmt::Write;

use crate::{
    capacity::{Size, lines},
    slopes::{Slope, Slopes},
};

/// Renders the slopes and a table for each size.
///
/// # Errors
///
/// If a slope is missing.
pub fn render(slopes: &Slopes) -> anyhow::Result<String> {
    let mut text = String::from("## Measured slopes\n\n");
    text.push_str("| slope | value | unit | per | base | residual | sizes |\n");
    text.push_str("| --- | ---: | --- | --- | ---: | ---: | --- |\n");
    slopes
        .slopes
        .iter()
        .for_each(|slope| slope_row(&mut text, slope));
    for size in Size::ALL {
        let _ = write!(
            text,
            "\n## {}: {:.0} daemons, {:.0} engines, {:.0} requests/s, {:.0} tokens/s\n\n",
            capitalised(size.name),
            size.daemons,
            size.engines,
            size.requests_per_s,
            size.tokens_per_s
        );
        text.push_str("| role | what | arithmetic | value | limit | ratio | carried by |\n");
        text.push_str("| --- | --- | --- | ---: | ---: | ---: | --- |\n");
        for line in lines(&size, slopes)? {
            line_row(&mut text, &line);
        }
    }
    Ok(text)
}

fn slope_row(text: &mut String, slope: &Slope) {
    let sizes: Vec<String> = slope
        .points
        .iter()
        .map(|(size, _)| size.to_string())
        .collect();
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {} | {:.3} | {} |",
        slope.name,
        number(slope.slope),
        slope.unit,
        slope.per,
        number(slope.base),
        slope.residual,
        sizes.join(", ")
    );
}

fn line_row(text: &mut String, line: &lines::Line) {
    let limit = line.limit.map_or("-".to_owned(), number);
    let ratio = match line.ratio() {
        None => "-".to_owned(),
        Some(ratio) if ratio > 1.0 => format!("**{} OVER**", number(ratio)),
        Some(ratio) => number(ratio),
    };
    let _ = writeln!(
        text,
        "| {} | {} | {} | {} | {limit} | {ratio} | {} |",
        line.role,
        line.what,
        line.how,
        number(line.value),
        line.mechanism
    );
}

/// A number with the digits that matter.
fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn capitalised(name: &str) -> String {
    let mut letters = name.chars();
    match letters.next() {
        Some(first) => first.to_uppercase().chain(letters).collect(),
        None => String::new(),
    }
}
