//! A director that can't start reports why, with the file, the field or the address.

mod common;

use common::{configuration, write_configuration};
use serde_json::{Value, json};
use shalewall_platform::{ConfigFileProblem, RunError, run};
use std::net::{SocketAddr, TcpListener};

const UNUSED_ADDRESS: &str = "127.0.0.1:9";

fn valid_configuration() -> Value {
    let address: SocketAddr = UNUSED_ADDRESS.parse().unwrap();
    configuration(address, address)
}

#[test]
fn a_missing_file_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("absent.json");
    let error = run(&file).unwrap_err();
    assert!(matches!(
        &error,
        RunError::ConfigFile(error) if error.file == file
            && matches!(error.problem, ConfigFileProblem::Unreadable(_))
    ));
    let expected = format!("{}: No such file", file.display());
    assert!(error.to_string().starts_with(&expected), "{error}");
}

#[test]
fn an_invalid_field_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let mut configuration = valid_configuration();
    configuration["seed"] = json!("short");
    let file = write_configuration(directory.path(), &configuration);
    let expected = format!("{}: seed: is not 16 hexadecimal digits", file.display());
    assert_eq!(run(&file).unwrap_err().to_string(), expected);
}

#[test]
fn a_missing_setting_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let mut configuration = valid_configuration();
    configuration["settings"] = json!({"MyNumber": 0, "Balancers": 1});
    let file = write_configuration(directory.path(), &configuration);
    let expected = format!("{}: settings: Setup.Categories: is missing", file.display());
    assert_eq!(run(&file).unwrap_err().to_string(), expected);
}

#[test]
fn an_address_in_use_is_named() {
    let directory = tempfile::tempdir().unwrap();
    let occupied = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = occupied.local_addr().unwrap();
    let file = write_configuration(
        directory.path(),
        &configuration(address, UNUSED_ADDRESS.parse().unwrap()),
    );
    let error = run(&file).unwrap_err();
    assert!(matches!(&error, RunError::Listen { address: named, .. } if *named == address));
    let expected = format!("{address}: can't listen: Address already in use");
    assert!(error.to_string().starts_with(&expected), "{error}");
}
