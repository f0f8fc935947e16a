//! Validates the headers of clients' requests.
use super::connection_state::ConnectionState;
use super::{method_not_allowed, text_response, with_connection_close, Server};
use crate::client::MAX_BODY;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use percent_encoding::percent_decode_str;
use sender::api::Effect;
use sender::records::{unix_time_ms, AcceptedMessage};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of a header value that is parsed as text.
const MAX_VALUE_BYTES: usize = 256;

/// A request that hands in a message. Its body is still to be read.
pub struct MessageRequest {
    /// Still without its number and body.
    pub message: AcceptedMessage,
    pub deadline: Instant,
}

/// What the headers of a request ask for.
pub enum Validated {
    Message(Box<MessageRequest>),
    /// The request is answered without its body.
    Answered(Response<Full<Bytes>>),
}

impl Server {
    /// Validates the headers of a request. They are freed when this returns.
    pub(super) fn validate(&self, head: Parts, body: &Incoming, state: &ConnectionState) -> Validated {
        match self.message_request(&head, body, state) {
            Ok(request) => Validated::Message(Box::new(request)),
            Err(response) => Validated::Answered(*response),
        }
    }

    /// Returns the message that a request hands in, or the answer to any other request.
    fn message_request(
        &self,
        head: &Parts,
        body: &Incoming,
        state: &ConnectionState,
    ) -> Result<MessageRequest, Box<Response<Full<Bytes>>>> {
        let rejected = |status, reason: &'static str| Err(Box::new(text_response(status, reason)));
        if head.headers.contains_key(TRANSFER_ENCODING) && !state.head.get().lacks_content_length() {
            // Parsers disagree on where this request ends, so what follows must not be read as another
            // request.
            let response = text_response(StatusCode::BAD_REQUEST, "the body has two lengths");
            return Err(Box::new(with_connection_close(response)));
        }
        let path = head.uri.path();
        if path == "/healthz" {
            return Err(Box::new(self.health(&head.method)));
        }
        // Clients send a class name that is not ASCII either as UTF-8 or percent-encoded.
        let class_name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let class_name = percent_decode_str(class_name).decode_utf8_lossy();
        let Some(class) = self.settings.classes.iter().position(|c| *c == class_name && !c.is_empty()) else {
            return rejected(StatusCode::NOT_FOUND, "no such class of message");
        };
        if head.method != Method::POST {
            return Err(Box::new(method_not_allowed("POST")));
        }
        if body.size_hint().lower() > MAX_BODY as u64 {
            return rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB");
        }
        let (mut message, time_left) = match self.parse_headers(&head.headers, class) {
            Ok(parsed) => parsed,
            Err(reason) => return rejected(StatusCode::BAD_REQUEST, reason),
        };
        message.deadline_ms = unix_time_ms() + time_left.as_millis() as i64;
        Ok(MessageRequest { message, deadline: Instant::now() + time_left })
    }

    /// Answers a health check.
    fn health(&self, method: &Method) -> Response<Full<Bytes>> {
        match *method {
            Method::GET | Method::HEAD if self.directory.has_list() => text_response(StatusCode::OK, ""),
            // Without a list, every accepted message would wait for the first one.
            Method::GET | Method::HEAD => {
                text_response(StatusCode::SERVICE_UNAVAILABLE, "no list of endpoints\n")
            }
            _ => method_not_allowed("GET, HEAD"),
        }
    }

    /// Parses a message's headers. Returns the message, still without its number, deadline and body, and the
    /// time left to deliver it.
    fn parse_headers(
        &self,
        headers: &HeaderMap,
        class: usize,
    ) -> Result<(AcceptedMessage, Duration), &'static str> {
        // A repeated header is ambiguous: another parser may use the other value.
        let unique = [
            "host",
            "x-trace-id",
            "x-qos",
            "x-customer",
            "x-expires-in-ms",
            "x-consignee",
            "idempotency-key",
        ];
        if unique.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err("a header comes twice");
        }
        if !headers.contains_key(HOST) {
            return Err("Host is missing");
        }
        let text = |name: &str| {
            let value = headers.get(name)?;
            let read = std::str::from_utf8(value.as_bytes()).map(str::trim).ok();
            Some(read.filter(|t| t.len() <= MAX_VALUE_BYTES))
        };
        let class_name = &self.settings.classes[class];
        if text("x-qos") != Some(Some(class_name.as_str())) {
            return Err("X-Qos is missing, or not the class in the path");
        }
        let trace_id = text("x-trace-id").flatten().filter(|t| !t.is_empty());
        let trace_id = trace_id.ok_or("X-Trace-Id is missing or malformed")?;
        let tenant = match text("x-customer") {
            None if self.settings.tenants.is_empty() => "",
            Some(Some(t))
                if self.settings.tenants.is_empty() || self.settings.tenants.iter().any(|n| n == t) =>
            {
                t
            }
            _ => return Err("X-Customer is missing or unknown"),
        };
        let time_left = text("x-expires-in-ms").flatten().and_then(|t| t.parse::<u32>().ok());
        let time_left = time_left.ok_or("X-Expires-In-Ms is missing or malformed")?;
        let dest = text("x-consignee").flatten().and_then(|t| {
            t.split([',', ';']).find_map(|p| p.trim().strip_prefix("dest=")?.trim().parse::<u64>().ok())
        });
        let dest = dest.ok_or("X-Consignee is missing or malformed")?;
        let idempotency_key = match text("idempotency-key") {
            None => None,
            Some(Some(key)) if !key.is_empty() => Some(key.to_string()),
            Some(_) => return Err("Idempotency-Key is malformed"),
        };
        // Without a key, a repeated attempt could take effect twice.
        if idempotency_key.is_none() && self.effects[class] == Effect::Keyed {
            return Err("Idempotency-Key is missing");
        }
        let (class, tenant, trace_id) = (class_name.clone(), tenant.to_string(), trace_id.to_string());
        let message = AcceptedMessage {
            id: 0,
            class,
            tenant,
            dest,
            trace_id,
            idempotency_key,
            deadline_ms: 0,
            body: Bytes::new(),
        };
        Ok((message, Duration::from_millis(time_left.into())))
    }
}
