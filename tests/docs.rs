//! Checks that the generated tables in `docs/` match the code.
//!
//! `UPDATE_DOCS=1 cargo test --test docs` regenerates them.

use std::{fs, path::PathBuf};

use lupinseam::{
    error, event, gateway::settings as gateway_settings, metrics::Metrics,
    settings,
};

const BEGIN: &str = "<!-- table from the code -->\n";
const END: &str = "<!-- end of the table -->\n";

/// Compares the table of a page with `table`, or replaces it if `UPDATE_DOCS`
/// is set.
fn check(page: &str, table: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs");
    let path = path.join(page);
    let text = fs::read_to_string(&path).expect("the page is readable");
    let (before, rest) =
        text.split_once(BEGIN).expect("the page has a table start marker");
    let (current, after) =
        rest.split_once(END).expect("the page has a table end marker");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        let text = format!("{before}{BEGIN}{table}{END}{after}");
        fs::write(&path, text).expect("the page is written");
        return;
    }
    assert_eq!(
        current, table,
        "docs/{page} is out of date: run with UPDATE_DOCS=1"
    );
}

#[test]
fn the_settings_reference_matches_the_code() {
    check("SETTINGS.md", &settings::key_table(settings::KEYS));
}

#[test]
fn the_gateway_settings_reference_matches_the_code() {
    check("GATEWAY.md", &settings::key_table(gateway_settings::KEYS));
}

#[test]
fn the_event_catalogue_matches_the_code() {
    check("EVENTS.md", &event::catalogue());
}

#[test]
fn the_metric_list_matches_the_code() {
    check("METRICS.md", &Metrics::new().table());
}

#[test]
fn the_answer_table_matches_the_code() {
    check("ANSWERS.md", &error::answer_table());
}
