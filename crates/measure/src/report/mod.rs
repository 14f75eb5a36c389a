//! Report with plots of the measurements, as SVG files.
//!
//! - `reuse-skew.svg`: reuse against skew along the setting that moves between them.
//! - `control.svg`: control bytes of a host against the size of the fleet.
//! - `fairness.svg`: waits for service through a surge of one account.

mod fairness;
mod plot;
#[cfg(test)]
mod tests;

use std::{fs, path};

use eyre::WrapErr as _;

use crate::{figure, membership, routing};

/// Start of the names of control traffic, before the number of hosts.
const CONTROL: &str = "control_bytes_per_host_s_";

/// Deployments with a curve of reuse against skew.
const DEPLOYMENTS: [&str; 2] = ["bocage", "lombardy"];

/// Measures and writes every plot into a folder. Returns the files.
///
/// # Errors
///
/// Returns an error if a measurement fails or a file cannot be written.
pub fn write(folder: &path::Path) -> eyre::Result<Vec<path::PathBuf>> {
    fs::create_dir_all(folder).wrap_err_with(|| folder.display().to_string())?;
    let plots = [
        ("fairness.svg", fairness::plot()?),
        ("control.svg", control(&membership::run()?)),
        ("reuse-skew.svg", curves(&routing::run()?)),
    ];
    let mut files = Vec::new();
    for (name, plot) in plots {
        let file = folder.join(name);
        plot.write(&file)?;
        files.push(file);
    }
    Ok(files)
}

fn control(readings: &[figure::Reading]) -> plot::Plot {
    let mut measured = Vec::new();
    let mut all_to_all = Vec::new();
    for reading in readings {
        let hosts = reading.name.strip_prefix(CONTROL);
        let Some(hosts) = hosts.and_then(|hosts| hosts.parse::<f64>().ok()) else {
            continue;
        };
        measured.push((hosts, reading.value));
        all_to_all.extend(reading.baseline.map(|baseline| (hosts, baseline)));
    }
    let series = |name: &str, points| plot::Series {
        name: name.to_owned(),
        points,
    };
    plot::Plot {
        title: "Control traffic of the busiest host in its busier direction",
        x: "hosts",
        y: "bytes a second",
        series: vec![
            series("measured", measured),
            series("a probe of every host each second", all_to_all),
        ],
    }
}

fn curves(readings: &[figure::Reading]) -> plot::Plot {
    plot::Plot {
        title: "Reuse against skew, from weight 0 (left) to 1 of cache reuse",
        x: "skew over 10 s, max/mean",
        y: "reuse, of the oracle",
        series: DEPLOYMENTS
            .iter()
            .map(|deployment| curve(readings, deployment))
            .collect(),
    }
}

fn curve(readings: &[figure::Reading], deployment: &str) -> plot::Series {
    let reuse = format!("curve_reuse_{deployment}_");
    let skew = format!("curve_skew_{deployment}_");
    let value = |name: &str| readings.iter().find(|r| r.name == name).map(|r| r.value);
    let point = |reading: &figure::Reading| {
        let weight = reading.name.strip_prefix(&reuse)?;
        Some((value(&format!("{skew}{weight}"))?, reading.value))
    };
    plot::Series {
        name: deployment.to_owned(),
        points: readings.iter().filter_map(point).collect(),
    }
}
