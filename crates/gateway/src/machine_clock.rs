//! The clock of the machine, which goes on while processes restart and while the machine is suspended.

use stackpost_clock::MachineClock;
use stackpost_prepaid::{BootTimestamp, SteadyTime};
use stackpost_types::Digest;

/// Names the life of the machine: the kernel draws it anew at every start.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// This moment in the life of the machine.
pub(crate) fn machine_time(clock: &MachineClock) -> BootTimestamp {
    let since_boot = clock.now().since_boot();
    BootTimestamp { boot: boot(), at: SteadyTime(since_boot.as_millis() as u64) }
}

/// Read once: it can't change while this process lives.
fn boot() -> u64 {
    static BOOT: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    *BOOT.get_or_init(|| {
        // Without it, a clock that has begun anew is told only by its lower reading.
        let text = std::fs::read(BOOT_ID_FILE).unwrap_or_default();
        Digest::of(&[&text]).to_u64()
    })
}
