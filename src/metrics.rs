//! What the VM counts: the metrics, with bounded sets of labels.
//!
//! Organisations are labels only while they have a template; anything else
//! is counted as `other`. `docs/METRICS.md` lists the names; a test keeps
//! the list equal.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Label of an organisation without a template.
pub const OTHER: &str = "other";

const LATENCY_BUCKETS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.77, 1.5, 3.0, 6.0,
    12.0, 30.0, 60.0, 120.0,
];

const COST_BUCKETS: &[f64] =
    &[1e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2, 3e-2, 0.1, 0.3, 1.0];

const SCORE_BUCKETS: &[f64] =
    &[0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

/// All metrics of a VM.
pub struct Metrics {
    registry: Registry,
    /// Whole-answer latency by organisation and class.
    pub latency_s: HistogramVec,
    /// Time to the first token by organisation and class.
    pub first_token_s: HistogramVec,
    /// Cost of a request by organisation and class.
    pub cost: HistogramVec,
    /// Ratings by organisation and model version.
    pub quality: HistogramVec,
    /// Requests by organisation, class and answer code.
    pub requests: IntCounterVec,
    /// Attempts by how they ended.
    pub attempts: IntCounterVec,
    /// Retries refused by the budget.
    pub retries_refused: IntCounter,
    /// Cascades that went on to a further model.
    pub escalations: IntCounter,
    /// Frames from other VMs that were dropped, by fault.
    pub frames_dropped: IntCounterVec,
    /// Values in the platform's store that could not be read.
    pub entries_unreadable: IntCounter,
    /// Bytes sent to other VMs, by transport.
    pub peer_bytes: IntCounterVec,
    /// Store calls, by kind.
    pub store_calls: IntGaugeVec,
    /// Configuration revision in force.
    pub configuration_revision: IntGauge,
    /// Age of the last proof that the configuration is current.
    pub configuration_age_ms: IntGauge,
    /// Age of the platform's list.
    pub list_age_ms: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// What upstreams have said of themselves in answers that was news.
    pub upstreams_said: IntCounterVec,
    /// Upstreams that were seen to have ended under requests.
    pub upstreams_ended: IntCounter,
    /// Requests that are held back since upstreams ended under them.
    pub requests_held: IntGauge,
    /// Requests waiting for room.
    pub queued: IntGauge,
    /// VMs of the hall by belief.
    pub peers: IntGaugeVec,
    /// Bills not yet in the store.
    pub bills_waiting: IntGauge,
    /// Answers that ended with only one VM knowing their bill.
    pub bills_single_holder: IntCounter,
    /// Claims by verdict.
    pub claims: IntCounterVec,
    /// Claim slots that this VM owns, by state.
    pub claim_slots: IntGaugeVec,
    /// Versions that the guard has stopped here.
    pub versions_stopped: IntGauge,
    /// Orders sent, by outcome.
    pub orders: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Never: the names are constants, and each is registered once.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let r = Registrar(&registry);
        let by_class = &["organisation", "class"];
        Metrics {
            latency_s: r.histogram(
                "lupinseam_latency_seconds",
                "Time from a request's arrival to the end of its answer.",
                by_class,
                LATENCY_BUCKETS_S,
            ),
            first_token_s: r.histogram(
                "lupinseam_first_token_seconds",
                "Time from arrival to the first part of a streamed answer.",
                by_class,
                LATENCY_BUCKETS_S,
            ),
            cost: r.histogram(
                "lupinseam_cost",
                "Cost of a request in currency units.",
                by_class,
                COST_BUCKETS,
            ),
            quality: r.histogram(
                "lupinseam_quality",
                "Ratings of answers.",
                &["organisation", "version"],
                SCORE_BUCKETS,
            ),
            requests: r.counters(
                "lupinseam_requests_total",
                "Requests by answer code.",
                &["organisation", "class", "code"],
            ),
            attempts: r.counters(
                "lupinseam_attempts_total",
                "Attempts at upstreams by how they ended.",
                &["end"],
            ),
            retries_refused: r.counter(
                "lupinseam_retries_refused_total",
                "Retries that the budget did not allow.",
            ),
            escalations: r.counter(
                "lupinseam_escalations_total",
                "Answers that were rated poor and asked of another model.",
            ),
            frames_dropped: r.counters(
                "lupinseam_frames_dropped_total",
                "Frames on the peer port that were dropped.",
                &["fault"],
            ),
            entries_unreadable: r.counter(
                "lupinseam_entries_unreadable_total",
                "Values in the platform's store that could not be read.",
            ),
            peer_bytes: r.counters(
                "lupinseam_peer_bytes_total",
                "Bytes sent to other VMs.",
                &["transport"],
            ),
            store_calls: r.gauges(
                "lupinseam_store_calls",
                "Calls to the store since the start, by kind.",
                &["kind"],
            ),
            configuration_revision: r.gauge(
                "lupinseam_configuration_revision",
                "Configuration revision in force.",
            ),
            configuration_age_ms: r.gauge(
                "lupinseam_configuration_age_milliseconds",
                "Age of the last proof that the configuration is current; \
                 -1 without one.",
            ),
            list_age_ms: r.gauge(
                "lupinseam_list_age_milliseconds",
                "Age of the platform's list; -1 without one.",
            ),
            in_flight: r
                .gauge("lupinseam_in_flight", "Requests being worked on."),
            upstreams_said: r.counters(
                "lupinseam_upstreams_said_total",
                "What upstreams have said of themselves in answers, when it \
                 was news: leaving, resting, rested, unreadable, limited, unlimited, limit_unreadable.",
                &["what"],
            ),
            upstreams_ended: r.counter(
                "lupinseam_upstreams_ended_total",
                "Upstreams that this VM saw end under its requests.",
            ),
            requests_held: r.gauge(
                "lupinseam_requests_held",
                "Requests that are refused since upstreams ended under them.",
            ),
            queued: r.gauge(
                "lupinseam_queued",
                "Requests waiting for room at the replicas.",
            ),
            peers: r.gauges(
                "lupinseam_peers",
                "Other VMs of the data hall, by belief.",
                &["life"],
            ),
            bills_waiting: r.gauge(
                "lupinseam_bills_waiting",
                "Bills that are not in the store yet.",
            ),
            bills_single_holder: r.counter(
                "lupinseam_bills_single_holder_total",
                "Answers that ended with only this VM knowing their bill.",
            ),
            claims: r.counters(
                "lupinseam_claims_total",
                "Claims by verdict.",
                &["verdict"],
            ),
            claim_slots: r.gauges(
                "lupinseam_claim_slots",
                "Claim slots owned by this VM, by state.",
                &["state"],
            ),
            versions_stopped: r.gauge(
                "lupinseam_versions_stopped",
                "Versions that the guard has stopped at this VM.",
            ),
            orders: r.counters(
                "lupinseam_orders_total",
                "Orders to upstreams by outcome.",
                &["outcome"],
            ),
            registry,
        }
    }

    /// All metrics in the text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut bytes)
            .expect("metrics encode");
        String::from_utf8(bytes).expect("metrics are text")
    }

    /// The names and meanings in Markdown, as `docs/METRICS.md` prints them.
    ///
    /// Only metrics without labels, and those used before, can be gathered,
    /// so each labelled one is touched first; meant for a fresh instance.
    pub fn table(&self) -> String {
        self.touch();
        let mut table = String::from("| metric | meaning |\n|---|---|\n");
        for family in self.registry.gather() {
            let help = family.help();
            let name = family.name();
            table.push_str(&format!("| `{name}` | {help} |\n"));
        }
        table
    }

    fn touch(&self) {
        for family in
            [&self.latency_s, &self.first_token_s, &self.cost, &self.quality]
        {
            family.with_label_values(&["", ""]);
        }
        self.requests.with_label_values(&["", "", ""]);
        for family in [
            &self.attempts,
            &self.frames_dropped,
            &self.peer_bytes,
            &self.claims,
            &self.orders,
            &self.upstreams_said,
        ] {
            family.with_label_values(&[""]);
        }
        for family in [&self.store_calls, &self.peers, &self.claim_slots] {
            family.with_label_values(&[""]);
        }
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// Creates metrics and registers them in one step.
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn add<M>(&self, metric: prometheus::Result<M>) -> M
    where
        M: prometheus::core::Collector + Clone + 'static,
    {
        let metric = metric.expect("metric names are constants");
        self.0
            .register(Box::new(metric.clone()))
            .expect("each metric is registered once");
        metric
    }

    fn histogram(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> HistogramVec {
        let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        self.add(HistogramVec::new(opts, labels))
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> IntCounterVec {
        self.add(IntCounterVec::new(Opts::new(name, help), labels))
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.add(IntGaugeVec::new(Opts::new(name, help), labels))
    }

    fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::new(name, help))
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.add(IntGauge::new(name, help))
    }
}
