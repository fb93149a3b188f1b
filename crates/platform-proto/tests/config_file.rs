//! A complete configuration file in the platform's current format.

use shalewall::{Endpoint, EndpointState, ServerId, Timestamp};
use shalewall_director_config::DirectorConfig;
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::endpoint_watch::{EndpointEntry, EndpointEvent};

const PLATFORM_CONFIGURATION: &[u8] =
    include_bytes!("../../director-config/tests/fixtures/platform.json");

#[test]
fn every_field_of_a_platform_configuration_is_read() {
    let config = Config::parse(PLATFORM_CONFIGURATION).unwrap();
    assert_eq!(config.name, "d7");
    assert_eq!(config.listen, "192.0.2.14:6010".parse().unwrap());
    assert_eq!(config.seed(), 0x0123_4567_89ab_cdef);
    assert_eq!(config.limits.sockets, 768);
    assert_eq!(config.endpoint_service, "192.0.2.90:7400".parse().unwrap());
    assert_eq!(config.settings["MyNumber"], 3);
    assert_eq!(config.known.last_sequence, 12);
    let names = DirectorConfig::from_json(&config.settings).unwrap().names;
    let known = config.known.decode(&names);
    assert_eq!(known.last_sequence, 12);
    let first = EndpointEvent {
        sequence: 11,
        is_snapshot: true,
        entries: vec![
            EndpointEntry {
                endpoint: Endpoint {
                    server: ServerId(0x2a),
                    zone: Some(1),
                    machine_kind: Some(1),
                    cell: 5,
                    state: EndpointState::Ready,
                    weight: 2.5,
                    started_at: None,
                    fleet: 0,
                },
                address: "198.51.100.1:6020".parse().unwrap(),
            },
            EndpointEntry {
                endpoint: Endpoint {
                    server: ServerId(0x00c0_ffee),
                    zone: None,
                    machine_kind: None,
                    cell: 6,
                    state: EndpointState::Draining,
                    weight: 0.75,
                    started_at: Some(Timestamp::from_micros(1_800_000_000_123_000)),
                    fleet: 0,
                },
                address: "198.51.100.2:6021".parse().unwrap(),
            },
        ],
    };
    let second = EndpointEvent {
        sequence: 12,
        is_snapshot: false,
        entries: vec![EndpointEntry {
            endpoint: Endpoint {
                server: ServerId(0x2a),
                zone: None,
                machine_kind: None,
                cell: 0,
                state: EndpointState::Gone,
                weight: 1.0,
                started_at: None,
                fleet: 0,
            },
            address: "198.51.100.1:6020".parse().unwrap(),
        }],
    };
    assert_eq!(known.events, [first, second]);
}

#[test]
fn an_invalid_field_is_named_by_its_path() {
    let text = String::from_utf8(PLATFORM_CONFIGURATION.to_vec()).unwrap();
    for (field, replacement, expected) in [
        (
            r#""0123456789abcdef""#,
            r#""0123""#,
            "seed: is not 16 hexadecimal digits",
        ),
        (r#""sockets": 768"#, r#""sockets": -1"#, "limits.sockets: "),
        (r#""192.0.2.90:7400""#, r#""nowhere""#, "journal: "),
        (
            r#""phase": "gone""#,
            r#""phase": "lost""#,
            "known.entries[1].hosts.members[0].phase: ",
        ),
    ] {
        let error = Config::parse(text.replace(field, replacement).as_bytes())
            .err()
            .unwrap_or_else(|| panic!("{replacement} is accepted"));
        assert!(error.to_string().starts_with(expected), "{error}");
    }
}
