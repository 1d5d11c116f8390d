//! Counters and histograms of a daemon, exported in the Prometheus text format.
//!
//! The instruments are those of `opentelemetry`; a Prometheus registry renders them for
//! `GET /metrics`.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The instruments of a daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// Responses to remote procedure calls, by `method` and `kind` (`ok` or an error kind).
    pub responses: Counter<u64>,
    /// Latency of remote procedure calls in seconds, by `method`.
    pub latency: Histogram<f64>,
    /// Bytes of messages sent to entries of other regions, by `message`.
    pub region_bytes: Counter<u64>,
    /// Bytes of messages sent to other entries, by `message`.
    pub peer_bytes: Counter<u64>,
    /// Appends to the log, by `outcome`.
    pub appends: Counter<u64>,
    /// Records read from the log, by `stream`.
    pub records: Counter<u64>,
    /// Gains and losses of ownership of a partition or a cell by this entry, by `change`.
    pub ownership_changes: Counter<u64>,
    /// Requests sent to targets, by `outcome`.
    pub target_requests: Counter<u64>,
    /// Messages exchanged with other entries, by `direction`.
    pub peer_messages: Counter<u64>,
    /// Commands sent to workers, by `command`.
    pub worker_commands: Counter<u64>,
    /// Requests without a response, by the `role` of the peer and the kind of `silence`. Those over connections
    /// that have been replaced since are not counted.
    pub silent_connections: Counter<u64>,
    /// Calls to the advisor, by `outcome`.
    pub advisor_calls: Counter<u64>,
    /// Workers whose runs were found to use more than their capacity.
    pub overcommitted_workers: Counter<u64>,
    /// Crashes of workers soon after the start of a run, by the `verdict` on its task.
    pub task_crashes: Counter<u64>,
    /// Tasks that were given up because workers crash under them.
    pub given_up_tasks: Counter<u64>,
    /// Steps found waiting although they could run, once a second, by `reason`.
    pub waits: Counter<u64>,
    /// Steps of a client account that its cap holds back, counted once a second, and its jobs beyond its
    /// weight, by `account` and `event`.
    pub account_events: Counter<u64>,
    /// Reads of the configuration, by `outcome`.
    pub configuration_reads: Counter<u64>,
    /// The version of the configuration in force.
    pub configuration_version: Gauge<u64>,
    /// Restarts of the daemon's supervised parts, by `part`.
    pub restarts: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments and their registry.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be added to the registry.
    pub fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("laburnumplank");
        Ok(Metrics {
            responses: counter(&meter, "laburnum_answers", "calls answered"),
            latency: histogram(&meter, "laburnum_latency_seconds", "time to answer a call"),
            region_bytes: counter(
                &meter,
                "laburnum_region_bytes",
                "bytes of messages to entries of another region",
            ),
            peer_bytes: counter(
                &meter,
                "laburnum_peer_bytes",
                "bytes of messages sent to other entries",
            ),
            appends: counter(&meter, "laburnum_appends", "appends to the log"),
            records: counter(&meter, "laburnum_records", "records read from the log"),
            ownership_changes: counter(
                &meter,
                "laburnum_ownership_changes",
                "partitions taken or given up",
            ),
            target_requests: counter(&meter, "laburnum_dispatches", "requests sent to targets"),
            peer_messages: counter(
                &meter,
                "laburnum_peer_messages",
                "messages with other entries",
            ),
            worker_commands: counter(
                &meter,
                "laburnum_worker_commands",
                "commands sent to workers",
            ),
            silent_connections: counter(
                &meter,
                "laburnum_silent_connections",
                "requests without a response that show silent connections or a silent peer",
            ),
            advisor_calls: counter(&meter, "laburnum_advisor_calls", "calls to the advisor"),
            overcommitted_workers: counter(
                &meter,
                "laburnum_overcommitted_workers",
                "workers found with more runs than capacity",
            ),
            task_crashes: counter(
                &meter,
                "laburnum_task_crashes",
                "crashes of workers soon after the start of a run",
            ),
            given_up_tasks: counter(
                &meter,
                "laburnum_given_up_tasks",
                "tasks given up because workers crash under them",
            ),
            waits: counter(
                &meter,
                "laburnum_waits",
                "steps found waiting although they could run",
            ),
            account_events: counter(
                &meter,
                "laburnum_account_events",
                "steps of a client account that its cap holds back, and jobs beyond its weight",
            ),
            configuration_reads: counter(
                &meter,
                "laburnum_configuration_reads",
                "reads of the configuration",
            ),
            configuration_version: meter
                .u64_gauge("laburnum_configuration_version")
                .with_description("version of the configuration in force")
                .build(),
            restarts: counter(
                &meter,
                "laburnum_restarts",
                "restarts of a part of the daemon",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Renders all instruments in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if an instrument cannot be encoded.
    pub fn render(&self) -> eyre::Result<String> {
        let mut out = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut out)?;
        Ok(String::from_utf8(out)?)
    }
}

/// Creates a label set of one label.
pub fn label(name: &'static str, value: &'static str) -> [KeyValue; 1] {
    [KeyValue::new(name, value)]
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .build()
}
