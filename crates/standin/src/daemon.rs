//! The daemons' program, for tests outside its package.

use std::io;
use std::path::PathBuf;
use std::process::Command;

/// Builds the daemons in the profile of the running test, and returns their program.
///
/// # Errors
///
/// Returns an error if the build fails, or if the test does not run from a target directory.
pub fn build_daemon() -> io::Result<PathBuf> {
    let status = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--locked", "--package", "hyssopdyked"])
        .status()?;
    if !status.success() {
        return Err(io::Error::other(format!("the build of hyssopdyked failed: {status}")));
    }
    let test = std::env::current_exe()?;
    let folder = test.ancestors().nth(2).ok_or(io::ErrorKind::NotFound)?;
    Ok(folder.join("hyssopdyked"))
}
