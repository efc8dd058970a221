//! The deploy files fit the program: what the platform makes of the template
//! of settings is accepted, and every gap in it is one that is filled.

use std::{fs, path::PathBuf, time::Duration};

use lupinseam::{gateway::settings::GatewaySettings, unit::Mbps};

/// The platform's fields that the template uses, as they may look.
const FIELDS: &[(&str, &str)] = &[
    ("node_name", "edge-plateau-1"),
    ("zone", "plateau"),
    ("limits.link_mbps", "20.0"),
    ("ip", "10.1.0.40"),
    ("listen.frontend", "10.1.0.40:8227"),
    ("listen.readiness", "10.1.0.40:8220"),
    ("internal_port_range.0", "7340"),
    ("platform.address", "10.200.1.7:8223"),
    ("seed_nodes", "10.1.0.40:8229,10.2.0.29:8229"),
    ("bounds.revoke_ms", "5000"),
    ("bounds.fail_closed", "false"),
    ("bounds.grace_s", "8"),
    ("bounds.retry_budget_ratio", "0.9"),
    ("bounds.retry_min_extra", "58"),
    ("bounds.retry_window_s", "10"),
    ("bounds.warmup_overshoot", "1.5"),
    ("bounds.warmup_tolerance", "5"),
    ("bounds.session_s", "8.5"),
];

fn file(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join("deploy").join(name)).expect("a deploy file")
}

fn rendered(seeds: &str) -> String {
    let mut text = file("lupinseam.ini");
    for (field, value) in FIELDS {
        let value = if *field == "seed_nodes" { seeds } else { *value };
        let gap = format!("{{{{{field}}}}}");
        assert!(text.contains(&gap), "{field} is not used any more");
        text = text.replace(&gap, value);
    }
    assert!(!text.contains("{{"), "a gap is left: {text}");
    text
}

#[test]
fn the_rendered_template_is_accepted() {
    let text = rendered("10.1.0.40:8229,10.2.0.29:8229");
    let settings = GatewaySettings::from_ini(&text).expect("no fault");
    assert_eq!(settings.vm.as_str(), "edge-plateau-1");
    assert_eq!(settings.peer_address.to_string(), "10.1.0.40:7340");
    assert_eq!(settings.link_rate, Mbps(20));
    let seeds: Vec<String> =
        settings.seeds.iter().map(ToString::to_string).collect();
    // Other VMs listen for each other on the same port as this one.
    assert_eq!(seeds, ["10.1.0.40:7340", "10.2.0.29:7340"]);
    assert!(!settings.fail_closed, "the operators' word counts");
}

#[test]
fn keys_fail_closed_where_nothing_is_said_of_them() {
    let text = rendered("");
    let unsaid = text.replace("fail_closed = false", "fail_closed = ");
    assert_ne!(text, unsaid);
    let settings = GatewaySettings::from_ini(&unsaid).expect("no fault");
    assert!(settings.fail_closed);
}

#[test]
fn a_session_lasts_for_as_long_as_the_operators_say() {
    let text = rendered("");
    let session_time = |text: &str| {
        let settings = GatewaySettings::from_ini(text).expect("no fault");
        settings.session_timeout
    };
    assert_eq!(session_time(&text), Duration::from_millis(8_500));
    let unsaid = text.replace("session_s = 8.5", "session_s = ");
    assert_eq!(session_time(&unsaid), Duration::from_secs(5));
}

#[test]
fn a_vm_without_seeds_is_accepted() {
    let settings = GatewaySettings::from_ini(&rendered("")).expect("no fault");
    assert!(settings.seeds.is_empty());
}

#[test]
fn every_fault_of_the_settings_is_reported() {
    let text = rendered("here").replace("grace_s = 8", "grace = 8");
    let faults = GatewaySettings::from_ini(&text).unwrap_err();
    let names: Vec<&str> =
        faults.iter().map(|fault| fault.key.as_str()).collect();
    for name in ["grace", "seeds", "grace_s"] {
        assert!(names.contains(&name), "{name} is missing in {names:?}");
    }
}

#[test]
fn the_metrics_address_is_the_one_that_is_named() {
    let port = "9464";
    assert!(file("system.toml").contains(&format!("\"{port}/metrics\"")));
    let text = rendered("");
    let settings = GatewaySettings::from_ini(&text).expect("no fault");
    assert_eq!(settings.metrics.port().to_string(), port);
}
