//! Decisions of entries that send directly to endpoints.
//!
//! 1. [`routes`]: the declared route and service of a request.
//! 2. [`members`]: the current endpoints of a service.
//! 3. [`demand`]: the rate of requests for each adapter.
//! 4. [`copies`]: the adapters that an engine held recently.
//! 5. [`reading`]: the prefill backlog of an engine.
//! 6. [`choose`]: the endpoint for a request.
//! 7. [`quality`]: the failures and response times of an endpoint.
//! 8. [`attempt`]: the next step after an attempt ended.
//! 9. [`versions`]: the adapter version for a request.
//! 10. [`worth`]: the utility of an answer relative to others.
//! 11. [`urgency`]: the order in which an engine prefills waiting prompts.
//! 12. [`availability`]: whether an endpoint accepts requests, according to its answers.
//! 13. [`rate`]: the request rate that an endpoint accepts from all VMs together,
//!     according to its answers.
//! 14. [`permits`]: the distribution of that rate over the requests of all VMs.
//! 15. [`reads`]: the timing of reads of the declared state.
//!
//! [`mechanisms`] lists the mechanisms that can be disabled in a benchmark.

pub mod attempt;
pub mod availability;
pub mod choose;
pub mod copies;
pub mod demand;
pub mod mechanisms;
pub mod members;
pub mod permits;
pub mod quality;
pub mod rate;
pub mod reading;
pub mod reads;
pub mod routes;
pub mod urgency;
pub mod versions;
pub mod worth;
