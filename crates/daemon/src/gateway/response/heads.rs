//! Heads of the responses that are passed on to clients.

use actix_http::{
    ConnectionType, Response, StatusCode,
    body::BoxBody,
    header::{HeaderName, HeaderValue},
};

use crate::gateway::{Gateway, memory::HeldBody};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers between instances. Clients never see them.
const PEER_HEADER_PREFIX: &str = "cyclamengauge-";

/// Header of a peer's response that is present if the end of the target's response is not
/// marked by its framing.
pub const UNMARKED_END_HEADER: &str = "cyclamengauge-unmarked-end";

/// Forwards a target's response whose body has been read.
pub fn from_target(response: http::Response<HeldBody>) -> Response<BoxBody> {
    let (head, body) = response.into_parts();
    with_head(&head, BoxBody::new(body))
}

/// Builds a response from the head of a target's response and a body. Drops the
/// hop-by-hop headers and the content length; an invalid status becomes 502.
pub fn with_head(head: &http::response::Parts, body: BoxBody) -> Response<BoxBody> {
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, body);
    for (name, value) in &head.headers {
        if is_hop_by_hop(name.as_str())
            || name == http::header::CONTENT_LENGTH
            || name.as_str().starts_with(PEER_HEADER_PREFIX)
        {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Whether a header, named in lower case, applies to a single connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Sets `Connection: close` if the instance is shutting down.
pub fn close_if_shutting_down(
    gateway: &Gateway,
    mut response: Response<BoxBody>,
) -> Response<BoxBody> {
    if gateway.is_shutting_down() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
