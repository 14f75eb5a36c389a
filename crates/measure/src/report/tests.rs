use super::fairness;

#[test]
fn a_surge_of_one_account_does_not_delay_the_other() {
    let plot = fairness::plot().unwrap();
    let longest = |series: usize| {
        let waits = plot.series[series].points.iter().map(|(_, wait)| *wait);
        waits.reduce(f64::max).unwrap()
    };
    let (fair, first_in_first_out) = (longest(0), longest(1));
    // One request of the other account is served in between, besides the one that is running.
    assert!(fair <= 0.3, "{fair}");
    assert!(first_in_first_out > 10.0, "{first_in_first_out}");
}

#[test]
fn plots_are_svg_with_their_labels() {
    let file = std::env::temp_dir().join(format!("fairness-{}.svg", std::process::id()));
    fairness::plot().unwrap().write(&file).unwrap();
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    assert!(text.starts_with("<svg"));
    assert!(text.contains("steady account, fair queue"));
}
