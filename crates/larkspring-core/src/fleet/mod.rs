//! Decisions of entries that send straight to endpoints.
//!
//! 1. [`routes`]: which declared route a request takes, and to which service.
//! 2. [`members`]: which endpoints a service has now.
//! 3. [`demand`]: how often each adapter is asked for.
//! 4. [`copies`]: which adapters an engine held lately.
//! 5. [`reading`]: how much of the prompts at an engine is still to be read.
//! 6. [`choose`]: which endpoint is sent the request.
//! 7. [`quality`]: what an endpoint's answers say about it.
//! 8. [`attempt`]: what follows from the way an attempt ended.
//! 9. [`versions`]: which version of an adapter a request gets.
//! 10. [`worth`]: what an answer is worth, against other answers.
//! 11. [`urgency`]: in which order an engine reads the prompts that wait there.
//! 12. [`availability`]: whether an endpoint takes requests, by what its answers say.
//! 13. [`rate`]: how many requests it takes from all VMs together, by the same.
//! 14. [`permits`]: which request that rate is spent on, over all VMs.
//! 15. [`reads`]: how the declared state is read in time.
//!
//! [`mechanisms`] lists what can be switched off in a measurement.

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
