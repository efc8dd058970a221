//! The Prometheus metrics of a VM, all with bounded sets of label values.
//!
//! An organisation is a label value only while it has a template; all others
//! are counted as `other`. `docs/METRICS.md` contains the list of metrics, and
//! a test checks that it equals this module's.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// The label value for organisations without a template.
pub const OTHER: &str = "other";

const LATENCY_BUCKETS_S: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.77, 1.5, 3.0, 6.0,
    12.0, 30.0, 60.0, 120.0,
];

const AGE_BUCKETS_S: &[f64] =
    &[0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.4, 1.6, 1.8, 2.0, 2.5, 3.0, 5.0];

const COST_BUCKETS: &[f64] =
    &[1e-5, 1e-4, 3e-4, 1e-3, 3e-3, 1e-2, 3e-2, 0.1, 0.3, 1.0];

const SCORE_BUCKETS: &[f64] =
    &[0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

/// All metrics of a VM.
pub struct Metrics {
    registry: Registry,
    /// Time from a request's arrival to the end of its answer, by
    /// organisation and class.
    pub latency_s: HistogramVec,
    /// Time to the first part of a streamed answer, by organisation and class.
    pub first_token_s: HistogramVec,
    /// Cost of a request in currency units, by organisation and class.
    pub cost: HistogramVec,
    /// Ratings of answers, by organisation and model version.
    pub quality: HistogramVec,
    /// Requests, by organisation, class and answer code.
    pub requests: IntCounterVec,
    /// Requests that were read and got no complete answer, by cause.
    pub unanswered: IntCounterVec,
    /// Attempts at upstreams, by outcome.
    pub attempts: IntCounterVec,
    /// Retries before the platform that the retry budget allowed, by reason.
    pub retries: IntCounterVec,
    /// Retries that the retry budget did not allow.
    pub retries_refused: IntCounter,
    /// Answers that were rated poor and requested from another model.
    pub escalations: IntCounter,
    /// Decisions of the gateway whether a larger model is asked, by outcome.
    pub cascade_decisions: IntCounterVec,
    /// Mean doubt of larger models after smaller ones, in percent, by smaller
    /// and larger model and the lowest confidence of the range.
    pub cascade_doubt_percent: IntGaugeVec,
    /// Number of samples of this doubt, by the same labels.
    pub cascade_doubt_samples: IntGaugeVec,
    /// Frames from other VMs that were dropped, by error.
    pub frames_dropped: IntCounterVec,
    /// Values in the platform's store that could not be decoded.
    pub entries_unreadable: IntCounter,
    /// Entries of the platform's list of VMs that could not be read.
    pub list_entries_unreadable: IntCounter,
    /// Bytes sent to other VMs, by transport.
    pub peer_bytes: IntCounterVec,
    /// Connections to upstreams asked of other VMs, by outcome.
    pub relayed_connections: IntCounterVec,
    /// Calls to the store since the start, by kind; set from the store
    /// client's counters, hence a gauge.
    pub store_calls: IntGaugeVec,
    /// Configuration revision in force.
    pub configuration_revision: IntGauge,
    /// Age of the last proof that the configuration is current; -1 without
    /// one.
    pub configuration_age_ms: IntGauge,
    /// Age of the last proof that this VM's copy of the platform's store is
    /// current; -1 without one.
    pub copy_age_ms: IntGauge,
    /// This age when this VM learned of a change, by how it did.
    pub change_age_s: HistogramVec,
    /// Age of the platform's list of VMs; -1 without one.
    pub list_age_ms: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Memory that callers make this VM hold, in bytes.
    pub caller_memory_bytes: IntGauge,
    /// Claims on this memory that had to make room for others.
    pub caller_claims_revoked: IntGauge,
    /// Connections a second to which this VM limits itself; -1 without a
    /// limit.
    pub connection_limit: IntGauge,
    /// Time for which something waited for a resource of this VM, by resource.
    pub own_delay_s: HistogramVec,
    /// Changes that upstreams signalled in the headers of their answers, by
    /// kind of change.
    pub upstreams_said: IntCounterVec,
    /// Upstreams that are known to be slower or faster than the others of
    /// their service.
    pub upstreams_uneven: IntGauge,
    /// Choices of an upstream that the price of pauses between events has
    /// changed.
    pub choices_changed_by_pauses: IntCounter,
    /// Upstreams that crashed while they ran this VM's requests.
    pub upstreams_ended: IntCounter,
    /// Requests that are quarantined because upstreams crashed while running
    /// them.
    pub requests_held: IntGauge,
    /// Requests that wait until an upstream has capacity.
    pub queued: IntGauge,
    /// Other VMs of the data hall, by liveness.
    pub peers: IntGaugeVec,
    /// Bills that are not in the store yet.
    pub bills_waiting: IntGauge,
    /// Answers that ended while only this VM had their bill.
    pub bills_single_holder: IntCounter,
    /// Claims, by verdict.
    pub claims: IntCounterVec,
    /// Claim slots that this VM owns, by state.
    pub claim_slots: IntGaugeVec,
    /// Versions that the rollout guard has stopped at this VM.
    pub versions_stopped: IntGauge,
    /// Orders sent to upstreams, by outcome.
    pub orders: IntCounterVec,
    /// Attempts at services whose slots are coordinated, by decision.
    pub slot_decisions: IntCounterVec,
    /// Permits for limited upstreams asked of other VMs, by outcome.
    pub permits: IntCounterVec,
    /// Requests rejected because their organisation was over its share.
    pub organisation_rejections: IntCounter,
    /// Requests of all VMs that wait for a slot at this VM.
    pub slot_queue_length: IntGauge,
    /// Time for which this VM's requests have waited for a decision on a
    /// slot, by decision.
    pub slot_wait_s: HistogramVec,
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
            unanswered: r.counters(
                "lupinseam_unanswered_total",
                "Requests before the platform whose connection ended without a complete answer, by cause: caller_left, broken_off, timed_out, caller_stalled, cut_by_stop, write_failed, closed_here.",
                &["cause"],
            ),
            attempts: r.counters(
                "lupinseam_attempts_total",
                "Attempts at upstreams by outcome.",
                &["end"],
            ),
            retries: r.counters(
                "lupinseam_retries_total",
                "Attempts beyond the first of a request before the platform that the retry budget allowed, by reason: failed, resumed, larger_model.",
                &["reason"],
            ),
            retries_refused: r.counter(
                "lupinseam_retries_refused_total",
                "Retries that the retry budget did not allow.",
            ),
            escalations: r.counter(
                "lupinseam_escalations_total",
                "Answers that were rated poor and requested from another model.",
            ),
            cascade_decisions: r.counters(
                "lupinseam_cascade_decisions_total",
                "Decisions of the gateway whether a larger model is asked, by \
                 outcome: escalated, or why the answer was kept (largest, \
                 sure, price, room, no_time, no_attempt, no_upstream).",
                &["outcome"],
            ),
            cascade_doubt_percent: r.gauges(
                "lupinseam_cascade_doubt_percent",
                "Mean probability that a larger model's answer is poor, by \
                 its confidence, where a smaller one was less sure; in the \
                 requests of all VMs. By smaller and larger model and by the \
                 lowest confidence of the range of ten in which the smaller \
                 one was.",
                &["smaller", "larger", "from_confidence"],
            ),
            cascade_doubt_samples: r.gauges(
                "lupinseam_cascade_doubt_samples",
                "Samples of `lupinseam_cascade_doubt_percent`; with fewer \
                 than a hundred, the doubt counts in part.",
                &["smaller", "larger", "from_confidence"],
            ),
            frames_dropped: r.counters(
                "lupinseam_frames_dropped_total",
                "Frames on the peer port that were dropped.",
                &["fault"],
            ),
            entries_unreadable: r.counter(
                "lupinseam_entries_unreadable_total",
                "Values in the platform's store that could not be decoded.",
            ),
            list_entries_unreadable: r.counter(
                "lupinseam_list_entries_unreadable_total",
                "Entries of the platform's list of VMs that could not be \
                 read; one that stays in the list counts once.",
            ),
            relayed_connections: r.counters(
                "lupinseam_relayed_connections_total",
                "Connections to upstreams asked of other VMs, by outcome.",
                &["outcome"],
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
            copy_age_ms: r.gauge(
                "lupinseam_copy_age_milliseconds",
                "Age of the last proof that this VM's copy of the platform's \
                 store is current; -1 without one.",
            ),
            change_age_s: r.histogram(
                "lupinseam_change_age_seconds",
                "Age of this VM's copy of the platform's store when it \
                 learned of changes, by how it did: watch, poll, read, push, \
                 snapshot.",
                &["learned_by"],
                AGE_BUCKETS_S,
            ),
            list_age_ms: r.gauge(
                "lupinseam_list_age_milliseconds",
                "Age of the platform's list of VMs; -1 without one.",
            ),
            in_flight: r
                .gauge("lupinseam_in_flight", "Requests in flight."),
            connections: r.gauge(
                "lupinseam_connections",
                "Open connections of callers before the platform.",
            ),
            caller_memory_bytes: r.gauge(
                "lupinseam_caller_memory_bytes",
                "Memory that connections, bodies and answers of callers take by the account of this VM, in bytes.",
            ),
            caller_claims_revoked: r.gauge(
                "lupinseam_caller_claims_revoked",
                "Connections, bodies and answers of callers that had to make room for others, since the start.",
            ),
            connection_limit: r.gauge(
                "lupinseam_connection_limit",
                "New connections a second to which this VM limits itself since it is overloaded; -1 without a limit.",
            ),
            own_delay_s: r.histogram(
                "lupinseam_own_delay_seconds",
                "Time for which something waited for a resource of this VM, by resource: an accepted connection for the processor, a new connection to an upstream for the network.",
                &["resource"],
                LATENCY_BUCKETS_S,
            ),
            upstreams_said: r.counters(
                "lupinseam_upstreams_said_total",
                "Changes that upstreams signalled in the headers of their \
                 answers: leaving, resting, rested, unreadable, limited, \
                 unlimited, limit_unreadable.",
                &["what"],
            ),
            upstreams_uneven: r.gauge(
                "lupinseam_upstreams_uneven",
                "Upstreams that are known to be slower or faster than the \
                 others of their service.",
            ),
            choices_changed_by_pauses: r.counter(
                "lupinseam_choices_changed_by_pauses_total",
                "Choices of an upstream that the price of pauses between \
                 events has changed.",
            ),
            upstreams_ended: r.counter(
                "lupinseam_upstreams_ended_total",
                "Upstreams that crashed while they ran this VM's requests.",
            ),
            requests_held: r.gauge(
                "lupinseam_requests_held",
                "Requests that are quarantined, and rejected, because \
                 upstreams crashed while running them.",
            ),
            queued: r.gauge(
                "lupinseam_queued",
                "Requests that wait until a replica has capacity.",
            ),
            peers: r.gauges(
                "lupinseam_peers",
                "Other VMs of the data hall, by liveness.",
                &["life"],
            ),
            bills_waiting: r.gauge(
                "lupinseam_bills_waiting",
                "Bills that are not in the store yet.",
            ),
            bills_single_holder: r.counter(
                "lupinseam_bills_single_holder_total",
                "Answers that ended while only this VM had their bill.",
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
                "Versions that the rollout guard has stopped at this VM.",
            ),
            orders: r.counters(
                "lupinseam_orders_total",
                "Orders to upstreams by outcome.",
                &["outcome"],
            ),
            slot_decisions: r.counters(
                "lupinseam_slot_decisions_total",
                "Attempts of this VM at services whose slots are coordinated, \
                 by decision: granted, refused, direct, cancelled, failed.",
                &["decision"],
            ),
            permits: r.counters(
                "lupinseam_permits_total",
                "Permits for requests to limited and cold upstreams that this \
                 VM asked of their owners, by outcome: lent, none, no_reply.",
                &["outcome"],
            ),
            organisation_rejections: r.counter(
                "lupinseam_organisation_rejections_total",
                "Requests that this VM rejected since their organisation was \
                 over its fair share of a service that was nearly full.",
            ),
            slot_queue_length: r.gauge(
                "lupinseam_slot_queue_length",
                "Requests of all VMs that wait for a slot at this VM, which \
                 coordinates.",
            ),
            slot_wait_s: r.histogram(
                "lupinseam_slot_wait_seconds",
                "Time for which requests of this VM waited for a decision on \
                 a slot.",
                &["decision"],
                LATENCY_BUCKETS_S,
            ),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut bytes)
            .expect("metrics encode");
        String::from_utf8(bytes).expect("metrics are text")
    }

    /// Returns the metrics' names and meanings in Markdown, for
    /// `docs/METRICS.md`.
    ///
    /// A registry returns a metric with labels only once a set of label values
    /// has been used. This function therefore adds an empty set to each, and
    /// should be called only on a new instance.
    pub fn table(&self) -> String {
        self.add_empty_labels();
        let mut table = String::from("| metric | meaning |\n|---|---|\n");
        for family in self.registry.gather() {
            let help = family.help();
            let name = family.name();
            table.push_str(&format!("| `{name}` | {help} |\n"));
        }
        table
    }

    fn add_empty_labels(&self) {
        for family in
            [&self.latency_s, &self.first_token_s, &self.cost, &self.quality]
        {
            family.with_label_values(&["", ""]);
        }
        self.slot_wait_s.with_label_values(&[""]);
        self.own_delay_s.with_label_values(&[""]);
        self.change_age_s.with_label_values(&[""]);
        self.requests.with_label_values(&["", "", ""]);
        for family in [
            &self.unanswered,
            &self.attempts,
            &self.retries,
            &self.cascade_decisions,
            &self.frames_dropped,
            &self.peer_bytes,
            &self.relayed_connections,
            &self.claims,
            &self.orders,
            &self.upstreams_said,
            &self.slot_decisions,
            &self.permits,
        ] {
            family.with_label_values(&[""]);
        }
        for family in
            [&self.cascade_doubt_percent, &self.cascade_doubt_samples]
        {
            family.with_label_values(&["", "", ""]);
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

/// Creates metrics and registers them.
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
