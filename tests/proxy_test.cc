/** Tests of the changes that entry hosts make to requests and responses. */
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "src/core.h"
#include "src/proxy.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace {

using namespace dogwood;

constexpr std::string_view kKey = "sk-0123456789abcdef";

/** Context of the requests below. */
auto Context() -> proxy_context {
  return {"host-1", workspace_id("reading"), std::string(kKey)};
}

/** Returns a POST request with the given header fields. */
auto MakeRequest(std::vector<http_header> fields) -> http_request {
  http_request request;
  request.method = "POST";
  request.headers.fields = std::move(fields);
  return request;
}

/** Converts the request for a backend server; fails the test if that is
 * refused. */
auto ToBackend(const http_request& request, std::string_view target)
    -> http_request {
  auto passed =
      ToOutcome([&] { return MakeBackendRequest(request, target, Context()); });
  cr_assert(passed.has_value());
  return passed.value();
}

/** Returns a random complete event with line breaks `end`. */
auto RandomEvent(const std::string& end) -> std::string {
  std::string event;
  const auto lines = *rc::gen::inRange(1, 4);
  for (int i = 0; i < lines; ++i) {
    const auto value = *rc::gen::container<std::string>(
        rc::gen::inRange('a', static_cast<char>('z' + 1)));
    event += "data: {" + value + "}" + end;
  }
  return event + end;
}

/** Feeds `text` to a parser in random pieces and returns the joined events. */
auto FeedInPieces(openai_sse_parser& parser, std::string_view text)
    -> std::string {
  std::string joined;
  while (!text.empty()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
    const auto events =
        ToOutcome([&] { return parser.Feed(text.substr(0, size)); });
    RC_ASSERT(events.has_value());
    for (const auto& event : events.value()) {
      joined += event;
    }
    text.remove_prefix(size);
  }
  return joined;
}

/** Returns `text` without its LFs. */
auto WithoutLf(std::string text) -> std::string {
  std::erase(text, '\n');
  return text;
}

/** Property: a stream split into random pieces gives all its events, and only a
 * complete stream counts as done. */
auto CheckEvents() -> void {
  const auto end = *rc::gen::element<std::string>("\n", "\r\n");
  std::string sent;
  const auto count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < count; ++i) {
    sent += RandomEvent(end);
  }
  const auto done = "data: [DONE]" + end + end;
  openai_sse_parser parser;
  const auto received = FeedInPieces(parser, sent + done);
  RC_ASSERT(parser.IsDone());
  RC_ASSERT(!parser.HasPartialEvent());
  // With CRLF an event is complete at its last CR; the LF that follows is
  // optional and may arrive separately.
  const bool same =
      end == "\n" ? received == sent : WithoutLf(received) == WithoutLf(sent);
  RC_ASSERT(same);
  openai_sse_parser truncated;
  const auto full = sent + done;
  const auto kept_size = *rc::gen::inRange<std::size_t>(
      0, full.size() - (end.size() == 2 ? 1 : 0));
  FeedInPieces(truncated, std::string_view(full).substr(0, kept_size));
  RC_ASSERT(!truncated.IsDone());
}

}  // namespace

// Guards against leaking a caller's key to a backend server in any header
// field.
Test(proxy, credentials_are_removed_from_headers) {
  const std::string key(kKey);
  const auto request = MakeRequest({{"Authorization", "Bearer " + key},
                                    {"authorization", "Basic x"},
                                    {"Proxy-Authorization", "Basic x"},
                                    {"COOKIE", "a=b"},
                                    {"X-Api-Key", "other"},
                                    {"X-Custom", "has " + key + " inside"},
                                    {"Content-Type", "application/json"}});
  const auto passed = ToBackend(request, "/v1/completions");
  for (const auto& field : passed.headers.fields) {
    cr_assert(field.value.find(key) == std::string::npos);
  }
  for (const auto* name : {"Authorization", "Proxy-Authorization", "Cookie",
                           "X-Api-Key", "X-Custom"}) {
    cr_assert(passed.headers.Get(name).empty());
  }
  cr_assert(passed.headers.Get("Content-Type") == "application/json");
}

// Guards against leaking a key in the query, also if the parameter's name or
// value is percent-encoded.
Test(proxy, credentials_are_removed_from_the_query) {
  cr_assert_eq(RemoveQueryCredentials("/p?a=1&key=x&b=2", kKey), "/p?a=1&b=2");
  cr_assert_eq(RemoveQueryCredentials("/p?API_KEY=x", kKey), "/p");
  cr_assert_eq(RemoveQueryCredentials("/p?%61ccess_token=x&c", kKey), "/p?c");
  cr_assert_eq(RemoveQueryCredentials("/p?q=sk-0123456789abcde%66", kKey),
               "/p");
  cr_assert_eq(RemoveQueryCredentials("/p?keys=1&monkey=2", kKey),
               "/p?keys=1&monkey=2");
  cr_assert_eq(RemoveQueryCredentials("/p", kKey), "/p");
}

// Guards against leaking a key in the path.
Test(proxy, key_in_the_path_is_refused) {
  const auto refused = ToOutcome([] {
    return MakeBackendRequest(MakeRequest({}), "/a/" + std::string(kKey),
                              Context());
  });
  cr_assert(!refused.has_value());
  cr_assert(refused.error().code == error_code::kBadRequest);
  cr_assert(refused.error().ran == ran_state::kNo);
}

// Guards against callers that set another workspace or the id of another
// caller's request.
Test(proxy, callers_cannot_set_fields_of_entry_hosts) {
  const auto request = MakeRequest({{"x-dogwood-workspace", "victim"},
                                    {"X-Dogwood-Other", "1"},
                                    {"x-request-id", "host-2"},
                                    {"X-Resume-From", "7"}});
  const auto passed = ToBackend(request, "/v1/completions");
  cr_assert_eq(passed.headers.fields.size(), 2U);
  cr_assert(passed.headers.Get("X-Dogwood-Workspace") == "reading");
  cr_assert(passed.headers.Get("X-Request-Id") == "host-1");
}

// Guards against hop-by-hop fields that change the framing between the entry
// host and the server, which would allow request smuggling.
Test(proxy, hop_by_hop_fields_are_removed) {
  const auto request = MakeRequest({{"Connection", "close, X-Hop"},
                                    {"X-Hop", "1"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"Content-Length", "5"},
                                    {"Upgrade", "h2c"},
                                    {"TE", "trailers"},
                                    {"Accept", "*/*"}});
  const auto passed = ToBackend(request, "/x");
  cr_assert_eq(passed.headers.fields.size(), 3U);
  cr_assert(passed.headers.Get("Accept") == "*/*");
  http_headers answer;
  answer.fields = {{"Transfer-Encoding", "chunked"},
                   {"Dogwood-Ran", "no"},
                   {"Content-Type", "text/plain"}};
  const auto shown = MakeCallerHeaders(answer, "host-1");
  cr_assert_eq(shown.fields.size(), 2U);
  cr_assert(shown.Get("X-Request-Id") == "host-1");
}

// Guards against relaying the response to another request, which arrived late
// or was mixed up by the server.
Test(proxy, responses_to_another_request_are_refused) {
  http_head head;
  cr_assert(ResponseMatchesRequest(head, "host-1"));
  head.headers.Set("x-request-id", "host-1");
  cr_assert(ResponseMatchesRequest(head, "host-1"));
  head.headers.Set("X-Request-Id", "host-2");
  cr_assert(!ResponseMatchesRequest(head, "host-1"));
}

// Guards against accepting a truncated stream as complete, and against events
// that are split or joined wrongly when the bytes arrive in other pieces.
Test(proxy, events_are_complete_in_any_pieces) {
  cr_assert(rc::check("events", CheckEvents));
}

// Guards against text that resembles the last event but is not it.
Test(proxy, only_the_exact_last_event_counts) {
  for (const auto* text :
       {"data: [DONE]", "data: [DONE]\n", "data: [DONE] \n\n",
        "data: {\"text\":\"[DONE]\"}\n\n", "event: [DONE]\n\n",
        ": data: [DONE]\n\n"}) {
    openai_sse_parser parser;
    const auto events = ToOutcome([&] { return parser.Feed(text); });
    cr_assert(events.has_value());
    cr_assert(!parser.IsDone(), "%s", text);
  }
}

// Guards against streams that are cut at an event whose text is the end mark of
// another kind of stream.
Test(proxy, any_text_is_passed_on_in_streams_that_end_with_their_body) {
  const std::string sent =
      "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\nid: 3\ndata: b\n\n";
  sse_parser parser;
  const auto events = ToOutcome([&] { return parser.Feed(sent); });
  cr_assert(events.has_value());
  cr_assert_eq(events->size(), 3U);
  cr_assert_eq(events->at(0) + events->at(1) + events->at(2), sent);
  cr_assert(!parser.IsDone());
}

// Guards against unbounded memory use by a server that sends an endless event.
Test(proxy, an_endless_event_is_refused) {
  openai_sse_parser parser;
  const std::string text(kMaxEventBytes + 1, 'x');
  const auto events = ToOutcome([&] { return parser.Feed(text); });
  cr_assert(!events.has_value());
  cr_assert(events.error().ran == ran_state::kMaybe);
}

// Guards against invalid bodies that crash the parser or are routed anyway.
Test(proxy, model_calls_are_checked) {
  const auto parse = [](std::string_view body) {
    return ToOutcome([&] { return ParseModelCall(body); });
  };
  for (const auto* body :
       {"", "[]", "{", R"({"model":3})", R"({"prompt":""})"}) {
    const auto refused = parse(body);
    cr_assert(!refused.has_value());
    cr_assert(refused.error().ran == ran_state::kNo);
  }
  const auto chat = parse(
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":)"
      R"([{"type":"text","text":"hi"},3]},7]})");
  cr_assert(chat.has_value());
  cr_assert(chat->stream);
  cr_assert_eq(chat->prompt, "user\nhi\n");
}
