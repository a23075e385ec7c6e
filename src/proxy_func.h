/** Conversion of callers' requests for backend servers, and of servers'
 * responses for callers. */
#ifndef SRC_PROXY_FUNC_H_
#define SRC_PROXY_FUNC_H_

#include <string>
#include <string_view>

#include "src/error_type.h"
#include "src/http_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** The entry host's own data on a request. */
struct proxy_context {
  std::string request_id;  ///< Unique id, sent as X-Request-Id.
  workspace_id workspace;  ///< Sent as X-Dogwood-Workspace unless empty.
  std::string key;         ///< The caller's key; removed from the request.
};

/** The parts of a completion request that routing needs. */
struct model_call {
  model_id model;       ///< "model" of the body.
  std::string prompt;   ///< Prompt, or the messages' roles and texts joined.
  bool stream = false;  ///< The caller requests an event stream.
};

/** Returns the key of "Authorization: Bearer KEY"; empty if there is none. */
auto BearerKey(const http_headers& headers) -> std::string_view;

/** Returns the request to send to a backend server: with the path and query of
 * `target`, without credentials, hop-by-hop fields and fields that only entry
 * hosts may set, and with the fields of `context`. Fails with kBadRequest if
 * `target` cannot be parsed or its path contains the key. */
auto MakeBackendRequest(const http_request& request,
                        std::string_view target,
                        const proxy_context& context) -> result<http_request>;

/** Returns `target` without the query parameters that carry credentials. */
auto RemoveQueryCredentials(std::string_view target, std::string_view key)
    -> std::string;

/** Returns the header fields of a backend server's response for the caller:
 * without hop-by-hop and framing fields, with the request's id. */
auto MakeCallerHeaders(const http_headers& headers, std::string_view request_id)
    -> http_headers;

/** Removes the hop-by-hop fields (RFC 9110, 7.6.1), those that Connection
 * names, and the framing fields, which are set again when the message is sent.
 */
auto RemoveHopByHop(http_headers& headers) -> void;

/** Whether a response can belong to the request. It does not if it names the id
 * of another request, which means that the server mixed up its responses. */
auto ResponseMatchesRequest(const http_head& head, std::string_view request_id)
    -> bool;

/** Whether a response is a stream of server-sent events. */
auto IsEventStream(const http_headers& headers) -> bool;

/** Parses the body of a completion request. Fails with kBadRequest if it is not
 * a JSON object or names no model. */
auto ParseModelCall(std::string_view body) -> result<model_call>;

/** Whether the method is idempotent by RFC 9110. */
auto IsIdempotentMethod(std::string_view method) -> bool;

/** Returns the server-sent event that reports a failure within a stream. */
auto MakeFailureEvent(const failure& error) -> std::string;

}  // namespace dogwood

#endif  // SRC_PROXY_FUNC_H_
