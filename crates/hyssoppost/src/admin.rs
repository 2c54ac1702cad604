//! The admin interface: metrics and state dump, protected by a token.

use crate::{Error, http, settings::Common};
use kernel::accuracy::ERROR_BOUNDS_MS;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use poem::{
    Endpoint, EndpointExt, Middleware, Request, Response, Route, get, handler,
    http::StatusCode,
    web::{Data, Json},
};
use serde_json::Value;
use std::{sync::OnceLock, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Longest time that the admin interface waits for requests when it stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bucket bounds of histograms of times, in seconds: from a network hop to a
/// long task.
const TIME_BUCKETS_SECONDS: [f64; 10] = [0.002, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Bucket bounds of histograms of ratios to an objective; at 1 the objective is
/// just met, at 3 it is missed.
const RATIO_BUCKETS: [f64; 7] = [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0];

/// Name of the histogram of forecast errors, whose values have a sign.
pub const FORECAST_ERROR: &str = "hyssoppost_forecast_error_seconds";

/// A request for the process's state as JSON; the sender takes the reply.
pub type Dump = oneshot::Sender<Value>;

/// Middleware that requires a bearer token.
struct Authentication(String);

/// An endpoint that requires a bearer token.
struct Authenticated<E> {
    inner: E,
    token: String,
}

impl<E: Endpoint> Middleware<E> for Authentication {
    type Output = Authenticated<E>;

    fn transform(&self, inner: E) -> Authenticated<E> {
        Authenticated {
            inner,
            token: self.0.clone(),
        }
    }
}

impl<E: Endpoint> Endpoint for Authenticated<E> {
    type Output = E::Output;

    async fn call(&self, request: Request) -> poem::Result<E::Output> {
        let presented = request
            .header("authorization")
            .and_then(|header| header.strip_prefix("Bearer "))
            .unwrap_or_default();
        if !wire::proof::constant_time_eq(presented, &self.token) {
            return Err(poem::Error::from_status(StatusCode::UNAUTHORIZED));
        }
        self.inner.call(request).await
    }
}

/// Binds the admin interface and starts it; `dump_requests` receives the requests
/// for the state.
pub fn bind(common: &Common, dump_requests: mpsc::Sender<Dump>) -> Result<http::Handle, Error> {
    recorder();
    let app = Route::new()
        .at("/metrics", get(render))
        .at("/state", get(dump))
        .data(dump_requests)
        .with(Authentication(common.admin_token.clone()));
    http::bind("admin", common.admin, CLOSE_TIMEOUT, app)
}

/// Binds the interface for metrics without a token and starts it, if the settings
/// have an address for it.
pub fn bind_metrics(common: &Common) -> Result<Option<http::Handle>, Error> {
    let Some(address) = common.metrics else {
        return Ok(None);
    };
    recorder();
    let app = Route::new().at("/metrics", get(render));
    Ok(Some(http::bind("metrics", address, CLOSE_TIMEOUT, app)?))
}

/// Returns the handle of the process's metrics recorder, which is installed on
/// first use.
pub fn recorder() -> &'static PrometheusHandle {
    static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new();
        let recorder = with_buckets(builder).build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::warn!("event=metrics_not_installed reason=\"another recorder is in place\"");
        }
        handle
    })
}

/// Configures fixed buckets for histograms; they cost less than quantiles.
fn with_buckets(builder: PrometheusBuilder) -> PrometheusBuilder {
    let suffix = |suffix: &str| Matcher::Suffix(suffix.to_owned());
    let error_buckets_seconds = ERROR_BOUNDS_MS.map(|bound| f64::from(bound) / 1e3);
    let buckets = [
        (suffix("_seconds"), TIME_BUCKETS_SECONDS.as_slice()),
        (suffix("_ratio"), RATIO_BUCKETS.as_slice()),
        // A full name takes precedence over a suffix.
        (
            Matcher::Full(FORECAST_ERROR.to_owned()),
            error_buckets_seconds.as_slice(),
        ),
    ];
    buckets
        .into_iter()
        .fold(builder, |builder, (matcher, bounds)| {
            builder
                .set_buckets_for_metric(matcher, bounds)
                .expect("the bounds are not empty")
        })
}

#[handler]
fn render() -> String {
    recorder().run_upkeep();
    recorder().render()
}

#[handler]
async fn dump(dump_requests: Data<&mpsc::Sender<Dump>>) -> Response {
    let (reply, state) = oneshot::channel();
    if dump_requests.send(reply).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    }
    match state.await {
        Ok(state) => poem::IntoResponse::into_response(Json(state)),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into(),
    }
}
