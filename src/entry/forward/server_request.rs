//! Builds the request that is sent to a server from the caller's request.

use http::{HeaderMap, HeaderValue, Method, Request, header};

use super::{
    body::Payload,
    forwarded_request::ForwardedRequest,
    head::{origin_form, strip_hop_headers},
};
use crate::{entry::server::Server, platform::headers, transport::ResponseBody};

impl ForwardedRequest<'_> {
    /// Builds the request for the server: the caller's request without hop-by-hop headers, with the
    /// remaining time and the name of the expected server. `None` if a header or the URI is
    /// invalid, or the body was streamed in an earlier attempt.
    pub(super) fn request(
        &self,
        server: &Server,
        payload: &mut Payload,
    ) -> Option<Request<ResponseBody>> {
        let body = payload.body()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri)?;
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        strip_hop_headers(headers);
        if !payload.is_empty() || self.head.method == Method::GET {
            // hyper sets the content length from the body that it sends.
            headers.remove(header::CONTENT_LENGTH);
        }
        self.set_workspace_header(headers)?;
        headers.insert(headers::DEADLINE_MS, HeaderValue::from(self.left_ms()));
        let name = HeaderValue::from_str(&server.entry.name).ok()?;
        headers.insert(headers::EXPECTED_SERVER, name);
        Some(request)
    }

    /// Replaces the caller's API key by the name of its workspace, because servers must not see API
    /// keys. Changes nothing if the configuration has no workspaces. `None` if the name is not a
    /// valid header value.
    fn set_workspace_header(&self, headers: &mut HeaderMap) -> Option<()> {
        if self.configuration.workspaces().is_none() {
            return Some(());
        }
        headers.remove(header::AUTHORIZATION);
        headers.remove(headers::WORKSPACE);
        if let Some(workspace) = self.workspace() {
            let name = HeaderValue::from_str(&workspace.name).ok()?;
            headers.insert(headers::WORKSPACE, name);
        }
        Some(())
    }
}
