//! Runs the counted measurements and compares them with their bounds.

use std::{path, process};

use pistachiochute_measure::{
    actions, bounds, decisions, departures, figure, lists, membership, quarantine, routing, slopes,
    streams,
};

use crate::{exit, known_red, table};

/// A group of measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Group {
    Actions,
    Lists,
    Routing,
    Membership,
    Streams,
    Quarantine,
    Departures,
    Decisions,
    Slopes,
}

impl Group {
    const ALL: &'static [Self] = &[
        Self::Actions,
        Self::Lists,
        Self::Routing,
        Self::Membership,
        Self::Streams,
        Self::Quarantine,
        Self::Departures,
        Self::Decisions,
        Self::Slopes,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Actions => "actions",
            Self::Lists => "lists",
            Self::Routing => "routing",
            Self::Membership => "membership",
            Self::Streams => "streams",
            Self::Quarantine => "quarantine",
            Self::Departures => "departures",
            Self::Decisions => "decisions",
            Self::Slopes => "slopes",
        }
    }

    fn run(self) -> eyre::Result<Vec<figure::Reading>> {
        match self {
            Self::Actions => actions::run(),
            Self::Lists => lists::run(),
            Self::Routing => routing::run(),
            Self::Membership => membership::run(),
            Self::Streams => streams::run(),
            Self::Quarantine => quarantine::run(),
            Self::Departures => departures::run(),
            Self::Decisions => decisions::run(),
            Self::Slopes => slopes::run(),
        }
    }

    /// Whether the group is run when none is named. Wall-clock readings are run on request only.
    const fn is_counted(self) -> bool {
        match self {
            Self::Actions | Self::Lists | Self::Routing => true,
            Self::Membership | Self::Streams | Self::Quarantine => true,
            Self::Departures | Self::Decisions => true,
            Self::Slopes => false,
        }
    }
}

/// The `measure` subcommand.
pub(crate) fn command() -> clap::Command {
    let names: Vec<_> = Group::ALL.iter().map(|group| group.as_str()).collect();
    clap::Command::new("measure")
        .about("Run the counted measurements and compare them with their bounds")
        .after_help(
            "Without a group all but the slopes are run, and a bound whose figure was not measured \
             counts as broken. Exit status 1 if a bound is broken. The slopes are readings of \
             time and memory without bounds.\n\n\
             Examples:\n  pistachiochute measure membership --json\n  \
             pistachiochute measure slopes\n  pistachiochute measure --known-red KNOWN-RED.txt",
        )
        .arg(
            clap::Arg::new("group")
                .value_name("GROUP")
                .value_parser(clap::builder::PossibleValuesParser::new(names))
                .help("Group to run instead of all"),
        )
        .arg(
            clap::Arg::new("known-red")
                .long("known-red")
                .value_name("FILE")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("Known faults: the figures that it lists do not fail the run"),
        )
        .arg(crate::json_arg())
}

/// Runs the measurements and prints the figures.
pub(crate) fn run(matches: &clap::ArgMatches) -> eyre::Result<process::ExitCode> {
    let known = match matches.get_one::<path::PathBuf>("known-red") {
        Some(file) => known_red::KnownRed::load(file)?,
        None => known_red::KnownRed::default(),
    };
    let group = matches.get_one::<String>("group").map(String::as_str);
    let json = matches.get_flag("json");
    if group == Some(Group::Slopes.as_str()) && !json {
        // The capacity page quotes this table.
        print!("{}", slopes::table(&slopes::measure()?));
        return Ok(process::ExitCode::SUCCESS);
    }
    let figures = figures(group)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&figures)?);
    } else {
        print_table(&figures, &known);
    }
    print_known(&figures, &known);
    let fails = |figure: &figure::Figure| !figure.ok && known.figure(&figure.name).is_none();
    if figures.iter().any(fails) {
        Ok(process::ExitCode::from(exit::FAILED))
    } else {
        Ok(process::ExitCode::SUCCESS)
    }
}

/// Figures of one group, or of all with the bounds whose figure was not measured.
fn figures(group: Option<&str>) -> eyre::Result<Vec<figure::Figure>> {
    let bounds = bounds::Bounds::load()?;
    let chosen =
        |item: &&Group| group.map_or_else(|| item.is_counted(), |group| group == item.as_str());
    let mut figures = Vec::new();
    for group in Group::ALL.iter().filter(chosen) {
        let readings = group.run()?;
        figures.extend(readings.iter().map(|reading| bounds.evaluate(reading)));
    }
    if group.is_none() {
        let missing = bounds.unmeasured(&figures);
        figures.extend(missing);
    }
    Ok(figures)
}

fn print_table(figures: &[figure::Figure], known: &known_red::KnownRed) {
    let headings = ["FIGURE", "VALUE", "UNIT", "BASELINE", "BOUND", "VERDICT"];
    let mut table = table::Table::new(&headings);
    for figure in figures {
        table.push(vec![
            figure.name.clone(),
            number(figure.value),
            figure.unit.clone(),
            figure.baseline.map_or_else(String::new, number),
            figure.bound.clone().unwrap_or_default(),
            verdict(figure, known).to_owned(),
        ]);
    }
    table.print();
}

fn verdict(figure: &figure::Figure, known: &known_red::KnownRed) -> &'static str {
    match (figure.ok, &figure.bound) {
        (true, Some(_)) => "ok",
        (true, None) => "reported",
        (false, _) if known.figure(&figure.name).is_some() => "known red",
        (false, _) => "BROKEN",
    }
}

/// Prints the known faults apart from the figures.
fn print_known(figures: &[figure::Figure], known: &known_red::KnownRed) {
    for figure in figures {
        let Some(entry) = known.figure(&figure.name) else {
            continue;
        };
        let seen = match figure.ok {
            true => "keeps its bound and can be taken from the list",
            false => &entry.seen,
        };
        eprintln!("known red: {}: {seen} ({})", figure.name, entry.command);
    }
}

/// A value with at most four digits after the point; a figure that was not measured has none.
fn number(value: f64) -> String {
    if value.is_nan() {
        return "not measured".to_owned();
    }
    let text = format!("{value:.4}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
