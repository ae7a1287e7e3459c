//! The report of an experiment as an HTML page with plots.

use plotters::prelude::*;
use serde_json::Value;

/// A bar chart of one result over the policies.
struct Plot {
    title: &'static str,
    pointer: &'static str,
}

const PLOTS: [Plot; 5] = [
    Plot { title: "Load stall in all, seconds", pointer: "/stall_s" },
    Plot { title: "Load stall p99, ms", pointer: "/stall_ms/p99" },
    Plot { title: "First byte p99, ms", pointer: "/first_byte_ms/p99" },
    Plot { title: "Loads for a hundred requests", pointer: "/loads_per_hundred" },
    Plot { title: "Batch efficiency", pointer: "/batch_efficiency" },
];
const SIZE: (u32, u32) = (480, 260);
const FONT: (&str, u32) = ("sans-serif", 16);

/// Returns the page for the results of an experiment.
pub fn page(figures: &Value) -> String {
    let policies = figures["policies"].as_array().cloned().unwrap_or_default();
    let plots: String =
        PLOTS.iter().filter_map(|p| draw_svg(p, &policies).ok()).collect();
    let head = format!(
        "{} on {}, load {}, seed {}",
        figures["scenario"], figures["profile"], figures["load"], figures["seed"]
    );
    let text = serde_json::to_string_pretty(figures).unwrap_or_default();
    format!(
        "<!doctype html><meta charset=utf-8><title>{head}</title><h1>{head}</h1>\
         {plots}<pre>{text}</pre>\n"
    )
}

fn draw_svg(
    plot: &Plot,
    policies: &[Value],
) -> Result<String, Box<dyn std::error::Error>> {
    let value =
        |p: &Value| p.pointer(plot.pointer).and_then(Value::as_f64).unwrap_or(0.0);
    let values: Vec<_> = policies.iter().map(value).collect();
    let top = values.iter().copied().fold(0.0, f64::max).max(1e-9) * 1.1;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(plot.title, FONT)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d((0..values.len()).into_segmented(), 0.0..top)?;
        let name = |at: &SegmentValue<usize>| match at {
            SegmentValue::CenterOf(n) => {
                let policy = policies.get(*n).and_then(|p| p["policy"].as_str());
                policy.unwrap_or_default().to_owned()
            }
            _ => String::new(),
        };
        chart.configure_mesh().disable_x_mesh().x_label_formatter(&name).draw()?;
        let bars = Histogram::vertical(&chart).style(BLUE.filled()).margin(20);
        chart.draw_series(bars.data(values.iter().enumerate().map(|(n, v)| (n, *v))))?;
        area.present()?;
    }
    Ok(svg)
}
