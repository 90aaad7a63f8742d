//! Tests of what the command line accepts.

use super::command;

fn parse(arguments: &str) -> Result<clap::ArgMatches, clap::Error> {
    let start = ["hyssopctl", "--control", "127.0.0.1:1"];
    command().try_get_matches_from(start.into_iter().chain(arguments.split(' ')))
}

/// Routes and declarations could be read through the API, but not with the command line.
#[test]
fn get_any_kind() {
    for kind in ["services", "domains", "upstreams", "entries", "routes", "declarations"] {
        assert!(parse(&format!("get {kind}")).is_ok(), "{kind}");
    }
    assert!(parse("get gateways").is_err());
}

/// Only what an operator may write can be removed.
#[test]
fn delete_kinds() {
    let kinds = [("services", true), ("domains", true), ("entries", false), ("routes", false)];
    for (kind, is_allowed) in kinds {
        assert_eq!(parse(&format!("delete {kind} a")).is_ok(), is_allowed, "{kind}");
    }
}
