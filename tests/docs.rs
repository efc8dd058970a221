//! The tables in the docs are those of the code.
//!
//! `UPDATE_DOCS=1 cargo test --test docs` writes them anew.

use std::{fs, path::PathBuf};

use lupinseam::{
    error, event, gateway::settings as gateway_settings, metrics::Metrics,
    settings,
};

const BEGIN: &str = "<!-- table from the code -->\n";
const END: &str = "<!-- end of the table -->\n";

fn check(page: &str, table: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs");
    let path = path.join(page);
    let text = fs::read_to_string(&path).expect("the page");
    let (before, rest) = text.split_once(BEGIN).expect("a table's begin");
    let (held, after) = rest.split_once(END).expect("a table's end");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        let text = format!("{before}{BEGIN}{table}{END}{after}");
        fs::write(&path, text).expect("the page is written");
        return;
    }
    assert_eq!(held, table, "docs/{page} differs from the code");
}

#[test]
fn the_settings_reference_is_the_code() {
    check("SETTINGS.md", &settings::key_table(settings::KEYS));
}

#[test]
fn the_gateway_settings_reference_is_the_code() {
    check("GATEWAY.md", &settings::key_table(gateway_settings::KEYS));
}

#[test]
fn the_event_catalogue_is_the_code() {
    check("EVENTS.md", &event::catalogue());
}

#[test]
fn the_metric_list_is_the_code() {
    check("METRICS.md", &Metrics::new().table());
}

#[test]
fn the_answer_table_is_the_code() {
    check("ANSWERS.md", &error::answer_table());
}
