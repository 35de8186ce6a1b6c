//! Metrics of one process.

use crate::json_lines::DroppedLines;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Collects a process's metrics and renders them in the Prometheus text format.
pub struct MetricsRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricsRegistry {
    /// An empty registry; fails if the exporter cannot be created.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Meter that creates the instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("stackpost")
    }

    /// Exports the number of dropped log lines.
    pub fn watch_log(&self, dropped: DroppedLines) {
        // The instrument stays registered when its handle is dropped.
        let _ = self
            .meter()
            .u64_observable_counter("stackpost_log_lines_dropped")
            .with_description("Log lines dropped because the writer could not keep up")
            .with_callback(move |observer| observer.observe(dropped.count(), &[]))
            .build();
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> Result<String, String> {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).map_err(|error| error.to_string())
    }
}
