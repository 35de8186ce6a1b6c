//! The machine's clock, which continues across restarts of processes and suspensions of the
//! machine.

use stackpost_clock::MachineClock;
use stackpost_prepaid::{BootTimestamp, SteadyTime};
use stackpost_types::Digest;

/// Identifies the boot of the machine: the kernel generates a new id at every boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// The current time since the machine's boot.
pub(crate) fn machine_time(clock: &MachineClock) -> BootTimestamp {
    let since_boot = clock.now().since_boot();
    BootTimestamp { boot: boot(), at: SteadyTime(since_boot.as_millis() as u64) }
}

/// Read once: it can't change while this process runs.
fn boot() -> u64 {
    static BOOT: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    *BOOT.get_or_init(|| {
        // Without the file, a reboot is detected only by the lower reading of the clock.
        let text = std::fs::read(BOOT_ID_FILE).unwrap_or_default();
        Digest::of(&[&text]).to_u64()
    })
}
