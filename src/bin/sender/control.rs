//! The control address: health checks, the age of the list of endpoints, and operators' calls that take
//! endpoints out and put them back.
//!
//! It serves one request per connection, and few connections at a time. When all are in use, a new connection
//! replaces the oldest one that has not sent its whole request, or else the oldest one, so that idle callers
//! can't lock others out. The core decides on every reply.
use crate::body;
use crate::discovery::status::ListStatus;
use crate::input::{Input, MaintenanceReply};
use crate::server::{method_not_allowed, text_response};
use crate::socket::Socket;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Maximum number of open connections, each of which uses one descriptor.
pub const MAX_CONNECTIONS: usize = 8;
/// How long a connection may take, from its start to the end of the reply, and the longest wait for the
/// core's reply. Callers wait no longer than a second.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a request's body. No request needs a body.
const MAX_BODY_BYTES: usize = 1 << 10;
/// Maximum size of a request line with its headers; the least that hyper allows.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// An open connection.
struct ControlConnection {
    /// Whether the whole request has been received.
    received: Cell<bool>,
    /// Dropped to close the connection.
    close: RefCell<Option<oneshot::Sender<()>>>,
}

/// The service on the control address.
pub struct Control {
    core: mpsc::Sender<Input>,
    list_status: Rc<ListStatus>,
    /// Whether this process accepts clients' connections.
    pub serving: Cell<bool>,
    /// Open connections, the oldest first.
    connections: RefCell<VecDeque<Rc<ControlConnection>>>,
}

impl Control {
    pub fn new(core: mpsc::Sender<Input>, list_status: Rc<ListStatus>) -> Rc<Control> {
        Rc::new(Control { core, list_status, serving: Cell::default(), connections: RefCell::default() })
    }

    /// Binds the address and serves it on a task of its own.
    pub async fn listen(self: Rc<Self>, at: SocketAddr) -> Result<(), String> {
        let listener = TcpListener::bind(at).await.map_err(|e| format!("cannot listen on {at}: {e}"))?;
        tokio::task::spawn_local(self.accept(listener));
        Ok(())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream),
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a connection on the control address");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Serves a connection. If there are too many, closes the oldest one that has not sent its whole request,
    /// or else the oldest one.
    fn admit(self: Rc<Self>, stream: TcpStream) {
        let (close, closed) = oneshot::channel();
        let connection =
            Rc::new(ControlConnection { received: Cell::default(), close: RefCell::new(Some(close)) });
        {
            let mut connections = self.connections.borrow_mut();
            if connections.len() >= MAX_CONNECTIONS {
                let unfinished = connections.iter().position(|c| !c.received.get());
                connections.remove(unfinished.unwrap_or(0)).map(|c| c.close.take());
            }
            connections.push_back(connection.clone());
        }
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = self.serve(stream, &connection) => {}
                _ = closed => {}
                () = sleep(TIMEOUT) => {}
            }
            self.connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, &connection));
        });
    }

    async fn serve(&self, stream: TcpStream, connection: &ControlConnection) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| async move {
            Ok::<_, Infallible>(self.answer(request, connection).await.unwrap_or_else(|refusal| refusal))
        });
        let mut http = hyper::server::conn::http1::Builder::new();
        http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
        if let Err(error) = http.serve_connection(TokioIo::new(Socket::new(stream)), service).await {
            tracing::debug!(%error, "a control connection failed");
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        connection: &ControlConnection,
    ) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        if head.headers.get_all(HOST).iter().count() != 1 {
            return Err(text_response(StatusCode::BAD_REQUEST, "one Host is needed\n"));
        }
        if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
            return Err(text_response(StatusCode::BAD_REQUEST, "the body has two lengths\n"));
        }
        // The body is read to its end: closing with unread data would reset the connection and could lose the
        // reply.
        if body::discard(body, MAX_BODY_BYTES).await.is_err() {
            return Err(text_response(StatusCode::BAD_REQUEST, "the body is too long or can't be read\n"));
        }
        connection.received.set(true);
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        match path[..] {
            ["healthcheck"] if matches!(head.method, Method::GET | Method::HEAD) => Ok(self.health().await),
            ["discovery"] if matches!(head.method, Method::GET | Method::HEAD) => Ok(self.list_status()),
            ["healthcheck" | "discovery"] => Err(method_not_allowed("GET, HEAD")),
            ["endpoints", name, change @ ("maint" | "ready")] if !name.is_empty() => {
                if head.method != Method::PUT {
                    return Err(method_not_allowed("PUT"));
                }
                Ok(self.set_maintenance(name, change == "maint").await)
            }
            _ => Err(text_response(StatusCode::NOT_FOUND, "no such call\n")),
        }
    }

    async fn health(&self) -> Response<Full<Bytes>> {
        let (reply, ready) = oneshot::channel();
        match self.ask_core(Input::HealthCheck(reply), ready).await {
            Some(true) if self.serving.get() => text_response(StatusCode::OK, "ready\n"),
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    fn list_status(&self) -> Response<Full<Bytes>> {
        match self.list_status.to_json() {
            Some(status) => text_response(StatusCode::OK, format!("{status}\n")),
            None => text_response(StatusCode::SERVICE_UNAVAILABLE, "another process follows discovery\n"),
        }
    }

    async fn set_maintenance(&self, name: &str, out: bool) -> Response<Full<Bytes>> {
        let (reply, done) = oneshot::channel();
        match self.ask_core(Input::Maintenance { name: name.to_string(), out, reply }, done).await {
            Some(MaintenanceReply::Done) => {
                text_response(StatusCode::OK, if out { "maint\n" } else { "ready\n" })
            }
            Some(MaintenanceReply::UnknownEndpoint) => {
                text_response(StatusCode::NOT_FOUND, "no such endpoint\n")
            }
            Some(MaintenanceReply::NotStored) | None => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "can't be kept\n")
            }
        }
    }

    /// Sends an input to the core and waits for its reply.
    async fn ask_core<T>(&self, input: Input, reply: oneshot::Receiver<T>) -> Option<T> {
        self.core.send(input).await.ok()?;
        timeout(TIMEOUT, reply).await.ok()?.ok()
    }
}
