//! Locates the programs, after building them if necessary.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// The folder with the programs of this build profile. Builds them once per test process, since a
/// test run of this package alone does not build the programs of the others.
pub fn folder() -> &'static PathBuf {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let status = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--workspace", "--bins"])
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
            .status()
            .expect("cargo can be started");
        assert!(status.success(), "failed to build the programs of the workspace");
        let test = std::env::current_exe().expect("path of the test executable");
        // target/<profile>/deps/<test>
        let profile = test
            .parent()
            .and_then(|deps| deps.parent())
            .expect("the test executable is in target/<profile>/deps");
        profile.to_path_buf()
    })
}
