//! Lines through measured points.

use pistachiochute_measure::slopes;

#[test]
fn a_line_goes_through_its_points() {
    let line = slopes::Line::fit(&[(1.0, 12.0), (2.0, 14.0), (4.0, 18.0)]);
    assert!((line.fixed - 10.0).abs() < 1e-9);
    assert!((line.per_unit - 2.0).abs() < 1e-9);
    assert!((line.at(100.0) - 210.0).abs() < 1e-9);
}

#[test]
fn the_table_has_a_row_for_each_slope() {
    let slope = slopes::Slope {
        name: "slope_x",
        role: "entry",
        cost: "x",
        size: "hosts",
        points: vec![(1.0, 1.0), (2.0, 2.0), (3.0, 3.0)],
        unit: "ns",
        design: 10.0,
    };
    let table = slopes::table(&[slope]);
    assert_eq!(table.lines().count(), 3);
    assert!(table.contains("| 10 at 10 |"), "{table}");
}
