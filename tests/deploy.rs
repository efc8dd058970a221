//! Checks that the files in `deploy/` match the program: the settings template
//! parses once the platform has filled it in, and it has no placeholder that
//! the platform does not fill.

use std::{fs, path::PathBuf, time::Duration};

use lupinseam::{
    gateway::settings::GatewaySettings,
    rollouts::exposure::ExposureLimit,
    unit::{Mbps, MilliCores},
};

/// Placeholders of the settings template, each with a sample value.
const FIELDS: &[(&str, &str)] = &[
    ("node_name", "edge-plateau-1"),
    ("zone", "plateau"),
    ("limits.link_mbps", "20.0"),
    ("limits.cpu_quota", "0.25"),
    ("limits.memory_mb", "110"),
    ("limits.max_fds", "4100"),
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
    ("bounds.canary_share", "0.0975"),
    ("bounds.canary_tolerance", "30"),
];

/// Reads a file of `deploy/`.
fn file(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join("deploy").join(name))
        .expect("the deploy file is readable")
}

/// Fills in the settings template as the platform does, with these seeds.
fn rendered(seeds: &str) -> String {
    let mut text = file("lupinseam.ini");
    for (field, value) in FIELDS {
        let value = if *field == "seed_nodes" { seeds } else { *value };
        let placeholder = format!("{{{{{field}}}}}");
        assert!(
            text.contains(&placeholder),
            "the template no longer uses {field}"
        );
        text = text.replace(&placeholder, value);
    }
    assert!(!text.contains("{{"), "a placeholder is left unfilled: {text}");
    text
}

#[test]
fn the_rendered_template_is_accepted() {
    let text = rendered("10.1.0.40:8229,10.2.0.29:8229");
    let settings = GatewaySettings::from_ini(&text).expect("no fault");
    assert_eq!(settings.vm.as_str(), "edge-plateau-1");
    assert_eq!(settings.peer_address.to_string(), "10.1.0.40:7340");
    assert_eq!(settings.link_rate, Mbps(20));
    assert_eq!(settings.cores, MilliCores(250));
    let seeds: Vec<String> =
        settings.seeds.iter().map(ToString::to_string).collect();
    // The seeds get the peer port of this VM, since all VMs of a fleet use
    // the same one.
    assert_eq!(seeds, ["10.1.0.40:7340", "10.2.0.29:7340"]);
    assert!(!settings.fail_closed, "fail_closed = false must be kept");
}

#[test]
fn fail_closed_defaults_to_true() {
    let text = rendered("");
    let unset = text.replace("fail_closed = false", "fail_closed = ");
    assert_ne!(text, unset);
    let settings = GatewaySettings::from_ini(&unset).expect("no fault");
    assert!(settings.fail_closed);
}

#[test]
fn the_exposure_of_new_versions_is_configurable() {
    let text = rendered("10.1.0.40:8229");
    let limit =
        |text: &str| GatewaySettings::from_ini(text).unwrap().exposure_limit;
    let platforms = ExposureLimit { share: 0.0975, tolerance: 30.0 };
    assert_eq!(limit(&text), platforms);
    let unset = text
        .replace("canary_share = 0.0975", "canary_share = ")
        .replace("canary_tolerance = 30", "canary_tolerance = ");
    let default = ExposureLimit { share: 0.15, tolerance: 0.0 };
    assert_eq!(limit(&unset), default);
    let none = text.replace("canary_share = 0.0975", "canary_share = 0");
    assert!(GatewaySettings::from_ini(&none).is_err());
}

#[test]
fn the_session_timeout_is_configurable() {
    let text = rendered("");
    let session_time = |text: &str| {
        let settings = GatewaySettings::from_ini(text).expect("no fault");
        settings.session_timeout
    };
    assert_eq!(session_time(&text), Duration::from_millis(8_500));
    let unset = text.replace("session_s = 8.5", "session_s = ");
    assert_eq!(session_time(&unset), Duration::from_secs(5));
}

#[test]
fn a_vm_without_seeds_is_accepted() {
    let settings = GatewaySettings::from_ini(&rendered("")).expect("no fault");
    assert!(settings.seeds.is_empty());
}

#[test]
fn all_settings_errors_are_reported() {
    let text = rendered("here").replace("grace_s = 8", "grace = 8");
    let errors = GatewaySettings::from_ini(&text).unwrap_err();
    let names: Vec<&str> =
        errors.iter().map(|fault| fault.key.as_str()).collect();
    for name in ["grace", "seeds", "grace_s"] {
        assert!(names.contains(&name), "{name} is not reported in {names:?}");
    }
}

#[test]
fn the_metrics_port_matches_system_toml() {
    let port = "9464";
    assert!(file("system.toml").contains(&format!("\"{port}/metrics\"")));
    let text = rendered("");
    let settings = GatewaySettings::from_ini(&text).expect("no fault");
    assert_eq!(settings.metrics.port().to_string(), port);
}
