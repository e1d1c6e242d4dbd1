//! The controller as an owner of slices of tenants' rate limits, see [`mintlb_quota`].

mod service;

pub use service::QuotaService;
