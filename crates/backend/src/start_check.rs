//! A last look once a connection is open: opening takes time, in which the process may have been
//! stopped, and woken when its leave to start work is over.

use std::{
    sync::Arc,
    task::{Context, Poll},
};

use futures_util::future::BoxFuture;
use tower_layer::Layer;
use tower_service::Service;

/// Tells whether work may start now.
pub type MayStart = Arc<dyn Fn() -> bool + Send + Sync>;

/// Error of a connection, as the HTTP client has it.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Refuses connections that opened too late.
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

/// A connector with the last look.
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
                false => Err("no new work may start any more".into()),
            }
        })
    }
}
