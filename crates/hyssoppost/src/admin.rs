//! The admin interface: metrics, state dump and health, behind a token.

use crate::{Error, http, settings::Common};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use poem::{
    Endpoint, EndpointExt, Middleware, Request, Response, Route, get, handler,
    http::StatusCode,
    web::{Data, Json},
};
use serde_json::Value;
use std::{sync::OnceLock, time::Duration};
use tokio::sync::{mpsc, oneshot};

/// Time that the admin interface's requests have on a planned stop.
const DRAIN: Duration = Duration::from_secs(1);

/// Bounds of histograms of times, in seconds: a network hop to a long task.
const SECONDS: [f64; 10] = [0.002, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Bounds of histograms of ratios; 1 is an objective just met, 3 one missed.
const RATIOS: [f64; 7] = [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0];

/// A request for a dump of the process's state.
pub type Dump = oneshot::Sender<Value>;

/// Asks for a token on every request.
struct Guard(String);

/// An endpoint behind a [`Guard`].
struct Guarded<E> {
    inner: E,
    token: String,
}

impl<E: Endpoint> Middleware<E> for Guard {
    type Output = Guarded<E>;

    fn transform(&self, inner: E) -> Guarded<E> {
        Guarded {
            inner,
            token: self.0.clone(),
        }
    }
}

impl<E: Endpoint> Endpoint for Guarded<E> {
    type Output = E::Output;

    async fn call(&self, request: Request) -> poem::Result<E::Output> {
        let given = request
            .header("authorization")
            .and_then(|header| header.strip_prefix("Bearer "))
            .unwrap_or_default();
        if !wire::proof::constant_time_eq(given, &self.token) {
            return Err(poem::Error::from_status(StatusCode::UNAUTHORIZED));
        }
        self.inner.call(request).await
    }
}

/// Serves the admin interface; `dumps` receives requests for the state.
pub async fn bind(common: &Common, dumps: mpsc::Sender<Dump>) -> Result<http::Handle, Error> {
    recorder();
    let app = Route::new()
        .at("/metrics", get(render))
        .at("/state", get(dump))
        .data(dumps)
        .with(Guard(common.admin_token.clone()));
    http::bind(common.admin, DRAIN, app).await
}

/// Serves metrics alone, without a token, where the settings say so.
pub async fn bind_metrics(common: &Common) -> Result<Option<http::Handle>, Error> {
    let Some(address) = common.metrics else {
        return Ok(None);
    };
    recorder();
    let app = Route::new().at("/metrics", get(render));
    Ok(Some(http::bind(address, DRAIN, app).await?))
}

/// Returns the process's metrics recorder, installed on first use.
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

/// Gives the histograms fixed buckets, which cost less than quantiles.
fn with_buckets(builder: PrometheusBuilder) -> PrometheusBuilder {
    let suffixes = [
        ("_seconds", SECONDS.as_slice()),
        ("_ratio", RATIOS.as_slice()),
    ];
    suffixes
        .into_iter()
        .fold(builder, |builder, (suffix, bounds)| {
            let matcher = Matcher::Suffix(suffix.to_owned());
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
async fn dump(dumps: Data<&mpsc::Sender<Dump>>) -> Response {
    let (reply, state) = oneshot::channel();
    if dumps.send(reply).await.is_err() {
        return StatusCode::SERVICE_UNAVAILABLE.into();
    }
    match state.await {
        Ok(state) => poem::IntoResponse::into_response(Json(state)),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into(),
    }
}
