//! Two gRPC services on one listener.

use std::{
    convert::Infallible,
    task::{
        Context,
        Poll, //
    }, //
};

use futures_util::future::Either;
use hyper::{
    body::Incoming,
    Request,
    Response, //
};
use tonic::server::NamedService;
use tower_service::Service;

/// Two gRPC services that share a listener. The service name in the path of a call
/// selects one of them.
#[derive(Clone)]
pub struct ServicePair<A, B> {
    first: A,
    second: B,
}

impl<A, B> ServicePair<A, B> {
    /// Creates the pair. Calls that do not name the first service go to the second,
    /// which also gets calls of unknown services.
    pub fn new(first: A, second: B) -> Self {
        Self { first, second }
    }
}

impl<A, B> Service<Request<Incoming>> for ServicePair<A, B>
where
    A: NamedService
        + Service<Request<Incoming>, Response = Response<tonic::body::Body>, Error = Infallible>,
    B: Service<Request<Incoming>, Response = Response<tonic::body::Body>, Error = Infallible>,
{
    type Response = Response<tonic::body::Body>;
    type Error = Infallible;
    type Future = Either<A::Future, B::Future>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = request.uri().path().split('/').nth(1);
        if service == Some(A::NAME) {
            Either::Left(self.first.call(request))
        } else {
            Either::Right(self.second.call(request))
        }
    }
}
