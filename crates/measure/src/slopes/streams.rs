//! Memory of the origins of streams.

use pistachiochute_core::{streams, time};

use crate::slopes::{Slope, sample};
use crate::streams::origin;

/// Memory of the table of origins by its streams.
pub fn origins_memory() -> eyre::Result<Slope> {
    let cost = |len| sample::bytes(4, || origins(len));
    let sizes = [16_384, 32_768, streams::MAX_STREAMS];
    let points: eyre::Result<Vec<_>> = sizes
        .into_iter()
        .map(|len| Ok((len as f64, cost(len)?)))
        .collect();
    Ok(Slope {
        name: "slope_origins_bytes",
        role: "relay, or host of a full mesh",
        cost: "origins of streams in memory",
        size: "streams",
        points: points?,
        unit: "B",
        design: streams::MAX_STREAMS as f64,
    })
}

fn origins(len: usize) -> streams::Origins {
    let mut table = streams::Origins::new();
    let now = time::Time::from_secs(1);
    (0..len).for_each(|i| table.record(origin(i as u128), now));
    table
}
