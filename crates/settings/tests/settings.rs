//! Validation of settings files: errors name the file, the line, the field, what was found and what
//! is allowed.

use stackpost_settings::{FleetSettings, OperatorsFile, load, parse};
use std::path::Path;

fn error_of(text: &str) -> String {
    match parse::<FleetSettings>("fleet.jsonc", text) {
        Ok(_) => panic!("invalid settings were accepted"),
        Err(error) => error.to_string(),
    }
}

fn fleet(machine: &str, more: &str) -> String {
    format!(
        "// a comment\n{{\n  \"machines\": [\n    {machine}\n  ],\n  \"operators_file\": \"o\"{more}\n}}"
    )
}

const MACHINE: &str = r#"{ "name": "m", "zone": "z", "control": { "peer": "127.0.0.1:1", "admin": "127.0.0.1:2", "data_folder": "d" } }"#;

#[test]
fn errors_name_the_line_and_the_field() {
    let cases = [
        ("{ \"machines\": [", "fleet.jsonc:1: not JSON"),
        (&fleet(MACHINE, ", \"routr\": {}"), "did you mean `router`?"),
        (
            &fleet(MACHINE, ",\n \"router\": { \"threads\": 0 }"),
            "fleet.jsonc:7: field `router.threads`: found 0; allowed: 1 to 256",
        ),
        (
            &fleet(MACHINE, ",\n \"control\": { \"heartbeat_interval_ms\": 500 }"),
            "field `control.heartbeat_interval_ms`: found 500; allowed: 10 to 200",
        ),
        (
            &fleet(&MACHINE.replace("127.0.0.1:1", "127.0.0.1"), ""),
            "fleet.jsonc:4: field `machines[0].control.peer`",
        ),
        (
            &fleet(&format!("{MACHINE},\n{MACHINE}"), ""),
            "fleet.jsonc:5: field `machines[1].name`: found `m` a second time",
        ),
        (&fleet("", ""), "0 machines with `control`; allowed: 1, 3 or 5"),
        ("{ \"machines\": [] }", "`operators_file` is missing"),
    ];
    for (text, expected) in cases {
        let error = error_of(text);
        assert!(error.contains(expected), "{error}\nshould contain {expected}");
    }
}

#[test]
fn errors_do_not_contain_a_key_given_instead_of_its_hash() {
    let error = parse::<OperatorsFile>("operators.jsonc", r#"{ "ada": "secret-key" }"#);
    let text = error.expect_err("refused").to_string();
    assert!(text.contains("64 hexadecimal digits") && !text.contains("secret-key"), "{text}");
}

#[test]
fn the_example_settings_are_valid() {
    for name in ["lagos", "bogota"] {
        let path = format!("{}/../../examples/{name}/fleet.jsonc", env!("CARGO_MANIFEST_DIR"));
        let settings: FleetSettings =
            load(Path::new(&path)).expect("the example settings are valid");
        assert_eq!(settings.replicas().count(), 3);
        assert!(settings.routers().count() >= 6);
    }
}
