//! Checks once a connection is open that work may still start: while it opened, the process may
//! have been suspended and resumed after its permit to start work had expired.

use std::{
    sync::Arc,
    task::{Context, Poll},
};

use futures_util::future::BoxFuture;
use tower_layer::Layer;
use tower_service::Service;

/// Returns whether work may start now.
pub type MayStart = Arc<dyn Fn() -> bool + Send + Sync>;

/// Connection error type that the HTTP client requires.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Connector layer that drops a new connection when work may no longer start.
#[derive(Clone)]
pub struct StartCheckLayer(pub MayStart);

impl<S> Layer<S> for StartCheckLayer {
    type Service = StartCheckConnector<S>;

    fn layer(&self, inner: S) -> Self::Service {
        StartCheckConnector {
            inner,
            may_start: Arc::clone(&self.0),
        }
    }
}

/// A connector that checks whether work may start once the connection is open.
#[derive(Clone)]
pub struct StartCheckConnector<S> {
    inner: S,
    may_start: MayStart,
}

impl<S, R> Service<R> for StartCheckConnector<S>
where
    S: Service<R, Error = BoxError>,
    S::Response: Send + 'static,
    S::Future: Send + 'static,
{
    type Response = S::Response;
    type Error = BoxError;
    type Future = BoxFuture<'static, Result<S::Response, BoxError>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: R) -> Self::Future {
        let opening = self.inner.call(request);
        let may_start = Arc::clone(&self.may_start);
        Box::pin(async move {
            let connection = opening.await?;
            match may_start() {
                true => Ok(connection),
                false => Err("connection opened after the permit to start work had ended".into()),
            }
        })
    }
}
