//! The second address: healthchecks, and operators' calls that take endpoints out and put them back.
//!
//! One call a connection, with few places of its own: a caller that finishes nothing loses its place to the
//! next one, so that it keeps nobody out. The core answers; nothing is decided here.
use crate::input::{Change, Input};
use crate::server::{method_not_allowed, text_response};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
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

/// Connections at a time, and so the most descriptors that this address takes.
pub const PLACES: usize = 8;
/// A caller waits a second. What has not brought its call and heard its answer by then has gone.
const PATIENCE: Duration = Duration::from_secs(1);
/// Calls need no body.
const MAX_BODY: usize = 1 << 10;

/// A connection, as far as the choice needs it of which to close.
struct Caller {
    /// Its call has come whole, and is being answered.
    whole: Cell<bool>,
    /// Dropped to end the connection.
    end: RefCell<Option<oneshot::Sender<()>>>,
}

pub struct Control {
    core: mpsc::Sender<Input>,
    /// Whether clients' connections are taken by this process.
    pub serving: Cell<bool>,
    /// In the order in which they came.
    callers: RefCell<VecDeque<Rc<Caller>>>,
}

impl Control {
    pub fn new(core: mpsc::Sender<Input>) -> Rc<Control> {
        Rc::new(Control { core, serving: Cell::default(), callers: RefCell::default() })
    }

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
                    tracing::warn!(%error, "cannot accept a call");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Where all places are taken, the caller that has been at its call longest loses its own.
    fn admit(self: Rc<Self>, stream: TcpStream) {
        let (end, ended) = oneshot::channel();
        let caller = Rc::new(Caller { whole: Cell::default(), end: RefCell::new(Some(end)) });
        {
            let mut callers = self.callers.borrow_mut();
            if callers.len() >= PLACES {
                let unfinished = callers.iter().position(|c| !c.whole.get());
                callers.remove(unfinished.unwrap_or(0)).map(|c| c.end.take());
            }
            callers.push_back(caller.clone());
        }
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = self.serve(stream, &caller) => {}
                _ = ended => {}
                () = sleep(PATIENCE) => {}
            }
            self.callers.borrow_mut().retain(|c| !Rc::ptr_eq(c, &caller));
        });
    }

    async fn serve(&self, stream: TcpStream, caller: &Caller) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| async move {
            Ok::<_, Infallible>(self.answer(request, caller).await.unwrap_or_else(|refusal| refusal))
        });
        let mut http = hyper::server::conn::http1::Builder::new();
        if let Err(error) = http.keep_alive(false).serve_connection(TokioIo::new(stream), service).await {
            tracing::debug!(%error, "a call broke off");
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        caller: &Caller,
    ) -> Result<Response<Full<Bytes>>, Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        if head.headers.get_all(HOST).iter().count() != 1 {
            return Err(text_response(StatusCode::BAD_REQUEST, "one Host is needed\n"));
        }
        if head.headers.contains_key(TRANSFER_ENCODING) && head.headers.contains_key(CONTENT_LENGTH) {
            return Err(text_response(StatusCode::BAD_REQUEST, "the body has two lengths\n"));
        }
        // Read to its end, or the close after the answer could reset the connection and take the answer along.
        if Limited::new(body, MAX_BODY).collect().await.is_err() {
            return Err(text_response(StatusCode::BAD_REQUEST, "the body is too long or can't be read\n"));
        }
        caller.whole.set(true);
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        match path[..] {
            ["healthcheck"] if matches!(head.method, Method::GET | Method::HEAD) => Ok(self.health().await),
            ["healthcheck"] => Err(method_not_allowed("GET, HEAD")),
            ["endpoints", name, change @ ("maint" | "ready")] if !name.is_empty() => {
                if head.method != Method::PUT {
                    return Err(method_not_allowed("PUT"));
                }
                Ok(self.maint(name, change == "maint").await)
            }
            _ => Err(text_response(StatusCode::NOT_FOUND, "no such call\n")),
        }
    }

    async fn health(&self) -> Response<Full<Bytes>> {
        let (reply, ready) = oneshot::channel();
        match self.ask(Input::Health(reply), ready).await {
            Some(true) if self.serving.get() => text_response(StatusCode::OK, "ready\n"),
            _ => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    async fn maint(&self, name: &str, out: bool) -> Response<Full<Bytes>> {
        let (reply, done) = oneshot::channel();
        match self.ask(Input::Maint { name: name.to_string(), out, reply }, done).await {
            Some(Change::Done) => text_response(StatusCode::OK, if out { "maint\n" } else { "ready\n" }),
            Some(Change::Unknown) => text_response(StatusCode::NOT_FOUND, "no such endpoint\n"),
            Some(Change::NotKept) | None => text_response(StatusCode::SERVICE_UNAVAILABLE, "can't be kept\n"),
        }
    }

    async fn ask<T>(&self, input: Input, reply: oneshot::Receiver<T>) -> Option<T> {
        self.core.send(input).await.ok()?;
        timeout(PATIENCE, reply).await.ok()?.ok()
    }
}
