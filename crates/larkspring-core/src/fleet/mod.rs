//! Decisions of entries that send directly to endpoints.
//!
//! 1. [`routes`]: the declared route and service of a request.
//! 2. [`endpoint_list`]: the current endpoints of a service.
//! 3. [`request_rates`]: the rate of requests for each adapter.
//! 4. [`host_copies`]: the adapters that an engine held recently.
//! 5. [`prefill`]: the prefill backlog of an engine.
//! 6. [`choose`]: the endpoint for a request.
//! 7. [`quality`]: the failures and response times of an endpoint.
//! 8. [`attempt`]: the next step after an attempt ended.
//! 9. [`versions`]: the adapter version for a request.
//! 10. [`version_records`]: the versions that are still to be recorded in the store.
//! 11. [`utility`]: the utility of an answer relative to others.
//! 12. [`urgency`]: the order in which an engine prefills waiting prompts.
//! 13. [`availability`]: whether an endpoint accepts requests, according to its answers.
//! 14. [`rate`]: the request rate that an endpoint accepts from all VMs together,
//!     according to its answers.
//! 15. [`permits`]: the distribution of that rate over the requests of all VMs.
//! 16. [`cold`]: the request rate that a cold endpoint takes.
//! 17. [`evacuations`]: the halls whose endpoints get no requests.
//! 18. [`read_timing`]: the timing of reads of the declared state.
//! 19. [`following`]: the agents that an entry follows.
//! 20. [`response_time`]: the expected response time of an endpoint of a plain service.
//! 21. [`idle`]: the reuse of idle connections.
//! 22. [`slow_readers`]: the callers whose connections are closed for lack of memory.
//! 23. [`stream_outcomes`]: the endpoints that break off their streams.
//! 24. [`stop_schedule`]: until when an entry that is being stopped sends requests.
//! 25. [`routing_keepers`]: the agents that keep the newest routing.
//!
//! [`mechanisms`] lists the mechanisms that can be disabled in a benchmark.

pub mod attempt;
pub mod availability;
pub mod build_history;
pub mod choose;
pub mod cold;
pub mod endpoint_list;
pub mod evacuations;
pub mod following;
pub mod host_copies;
pub mod idle;
pub mod mechanisms;
pub mod permits;
pub mod prefill;
pub mod quality;
pub mod rate;
pub mod read_timing;
pub mod request_rates;
pub mod response_time;
pub mod routes;
pub mod routing_keepers;
pub mod slow_readers;
pub mod stop_schedule;
pub mod stream_origins;
pub mod stream_outcomes;
pub mod urgency;
pub mod utility;
pub mod version_records;
pub mod versions;
