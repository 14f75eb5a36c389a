//! Counts the calls that this host makes to the store, by kind.

use std::time::Duration;

use pistachiochute_core::revision;
use pistachiochute_runtime::metrics;
use pistachiochute_runtime::platform::key_value;

use crate::adapter;

/// A store whose calls are counted when they are made, whatever their result.
#[derive(Clone, Debug)]
pub(super) struct MeteredStore<S> {
    inner: S,
    metrics: metrics::Metrics,
}

impl<S> MeteredStore<S> {
    /// Counts the calls to `inner`.
    pub(super) const fn new(inner: S, metrics: metrics::Metrics) -> Self {
        Self { inner, metrics }
    }
}

impl<S> adapter::Store for MeteredStore<S>
where
    S: adapter::Store,
{
    fn epoch(&self) -> Option<revision::Epoch> {
        self.inner.epoch()
    }

    async fn read_page(
        &self,
        prefix: &str,
        start: Option<&adapter::PageStart>,
        consistency: adapter::Consistency,
    ) -> Result<adapter::Page, key_value::Error> {
        let call = match consistency {
            adapter::Consistency::Linearizable => metrics::StoreCall::Read,
            adapter::Consistency::Stale => metrics::StoreCall::StaleRead,
        };
        self.metrics.store_called(call);
        self.inner.read_page(prefix, start, consistency).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: revision::Revision,
        wait: Duration,
    ) -> Result<adapter::WatchResponse, key_value::Error> {
        self.metrics.store_called(metrics::StoreCall::Watch);
        self.inner.watch(prefix, after, wait).await
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: key_value::LeaseId,
    ) -> Result<(), key_value::Error> {
        self.metrics.store_called(metrics::StoreCall::Write);
        self.inner.put(key, value, lease).await
    }

    async fn grant(&self, ttl: Duration) -> Result<key_value::LeaseId, key_value::Error> {
        self.metrics.store_called(metrics::StoreCall::Grant);
        self.inner.grant(ttl).await
    }

    async fn keep_alive(
        &self,
        lease: key_value::LeaseId,
    ) -> Result<Option<Duration>, key_value::Error> {
        self.metrics.store_called(metrics::StoreCall::Renewal);
        self.inner.keep_alive(lease).await
    }

    async fn revoke(&self, lease: key_value::LeaseId) -> Result<(), key_value::Error> {
        self.metrics.store_called(metrics::StoreCall::End);
        self.inner.revoke(lease).await
    }
}
