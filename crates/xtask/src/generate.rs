//! The `generate` task: generates the wire types ahead of the build, which then needs no generator.

use std::path::{Path, PathBuf};
use std::process::Command;

use eyre::{Result, WrapErr, ensure};

/// Protobuf packages of the wire crate, one `.proto` file each.
const PACKAGES: [&str; 4] = ["resource", "session", "datagram", "ledger"];

/// Package whose messages the operators' API encodes as JSON.
const JSON_PACKAGE: &str = ".hyssopdyke.resource";

/// Generates the files in `crates/hyssopdyke-wire/src/generated`.
pub(crate) fn run() -> Result<()> {
    let wire = wire_folder();
    let proto = wire.join("proto");
    let out = wire.join("src/generated");
    let files = PACKAGES.map(|package| proto.join(format!("{package}.proto")));
    let descriptors =
        protox::compile(&files, [&proto]).wrap_err("cannot compile the .proto files")?;
    prost_build::Config::new()
        .out_dir(&out)
        .bytes(["."])
        .compile_fds(descriptors.clone())
        .wrap_err("cannot generate the messages")?;
    let mut json = pbjson_build::Builder::new();
    for file in descriptors.file {
        json.register_file_descriptor(file);
    }
    json.preserve_proto_field_names()
        .ignore_unknown_fields()
        .out_dir(&out)
        .build(&[JSON_PACKAGE])
        .wrap_err("cannot generate the JSON serialization")?;
    format(&out)
}

fn wire_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../hyssopdyke-wire")
}

fn format(folder: &Path) -> Result<()> {
    let files: Vec<PathBuf> = std::fs::read_dir(folder)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect::<std::io::Result<_>>()?;
    let status = Command::new("rustfmt").args(["--edition", "2024"]).args(files).status()?;
    ensure!(status.success(), "rustfmt failed on the generated files: {status}");
    Ok(())
}
