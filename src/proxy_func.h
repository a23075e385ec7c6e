/** Requests as backend servers get them, and answers as callers get them. */
#ifndef SRC_PROXY_FUNC_H_
#define SRC_PROXY_FUNC_H_

#include <string>
#include <string_view>

#include "src/error_type.h"
#include "src/http_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** What the entry host adds to a request. */
struct proxy_stamp {
  std::string request_id;  ///< Unique name of the request.
  workspace_id workspace;  ///< Workspace that it runs for; may be empty.
  std::string key;         ///< The caller's key; never passed on.
};

/** Content of a model request that routing needs. */
struct model_call {
  model_id model;       ///< "model" of the body.
  std::string prompt;   ///< Prompt, or the messages' roles and texts joined.
  bool stream = false;  ///< Whether events are asked for.
};

/** The key in "Authorization: Bearer KEY", empty if there is none. */
auto BearerKey(const http_headers& headers) -> std::string_view;

/** `request` for a backend server at `target`: without credentials,
 * hop-by-hop fields and fields that only entry hosts may set, and with the
 * stamp. Fails with kBadRequest if the target cannot be parsed or its path
 * holds the key. */
auto BackendRequest(const http_request& request,
                    std::string_view target,
                    const proxy_stamp& stamp) -> result<http_request>;

/** `target` without query parameters that carry credentials. */
auto StripQuery(std::string_view target, std::string_view key) -> std::string;

/** Fields of a backend server's answer for the caller: without hop-by-hop
 * fields and framing, with the request's id. */
auto CallerHeaders(const http_headers& headers, std::string_view request_id)
    -> http_headers;

/** Removes the fields that concern one connection only (RFC 9110, 7.6.1), those
 * that Connection names, and those that framing sets anew. */
auto RemoveHopByHop(http_headers& headers) -> void;

/** Whether an answer can belong to the request: a server that names another
 * request's id has crossed its answers. */
auto ResponseMatchesRequest(const http_head& head, std::string_view request_id)
    -> bool;

/** Whether an answer is a stream of events. */
auto IsEventStream(const http_headers& headers) -> bool;

/** Reads the body of a completion. Fails with kBadRequest. */
auto ParseModelCall(std::string_view body) -> result<model_call>;

/** Whether RFC 9110 calls the method idempotent. */
auto IsIdempotentMethod(std::string_view method) -> bool;

/** An event that tells the caller of a failure within a stream. */
auto FailureEvent(const failure& error) -> std::string;

}  // namespace dogwood

#endif  // SRC_PROXY_FUNC_H_
