/** Tests of what entry hosts change in requests and answers. */
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

/** Stamp of the requests below. */
auto Stamp() -> proxy_stamp {
  return {"host-1", workspace_id("reading"), std::string(kKey)};
}

/** A request with `fields`. */
auto RequestWith(std::vector<http_header> fields) -> http_request {
  http_request request;
  request.method = "POST";
  request.headers.fields = std::move(fields);
  return request;
}

/** The request as a backend server gets it; fails the test if refused. */
auto Passed(const http_request& request, std::string_view target)
    -> http_request {
  auto passed =
      ToOutcome([&] { return BackendRequest(request, target, Stamp()); });
  cr_assert(passed.has_value());
  return passed.value();
}

/** A random whole event with line ends `end`. */
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

/** Feeds `text` to a parser in random pieces and joins what comes out. */
auto FeedInPieces(sse_parser& parser, std::string_view text) -> std::string {
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

/** `text` without its LFs. */
auto WithoutLf(std::string text) -> std::string {
  std::erase(text, '\n');
  return text;
}

/** Streams in any pieces come out whole, and only whole ones count as done. */
auto CheckEvents() -> void {
  const auto end = *rc::gen::element<std::string>("\n", "\r\n");
  std::string sent;
  const auto count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < count; ++i) {
    sent += RandomEvent(end);
  }
  const auto done = "data: [DONE]" + end + end;
  sse_parser parser;
  const auto got = FeedInPieces(parser, sent + done);
  RC_ASSERT(parser.IsDone());
  RC_ASSERT(!parser.HasPartialEvent());
  // With CRLF the last LF may come apart from its event and is not needed.
  const bool same =
      end == "\n" ? got == sent : WithoutLf(got) == WithoutLf(sent);
  RC_ASSERT(same);
  sse_parser cut;
  const auto whole = sent + done;
  const auto kept = *rc::gen::inRange<std::size_t>(
      0, whole.size() - (end.size() == 2 ? 1 : 0));
  FeedInPieces(cut, std::string_view(whole).substr(0, kept));
  RC_ASSERT(!cut.IsDone());
}

}  // namespace

// Guards against a backend server that sees a caller's key, in whatever field
// it came.
Test(proxy, credentials_are_removed_from_headers) {
  const std::string key(kKey);
  const auto request = RequestWith({{"Authorization", "Bearer " + key},
                                    {"authorization", "Basic x"},
                                    {"Proxy-Authorization", "Basic x"},
                                    {"COOKIE", "a=b"},
                                    {"X-Api-Key", "other"},
                                    {"X-Custom", "has " + key + " inside"},
                                    {"Content-Type", "application/json"}});
  const auto passed = Passed(request, "/v1/completions");
  for (const auto& field : passed.headers.fields) {
    cr_assert(field.value.find(key) == std::string::npos);
  }
  for (const auto* name : {"Authorization", "Proxy-Authorization", "Cookie",
                           "X-Api-Key", "X-Custom"}) {
    cr_assert(passed.headers.Get(name).empty());
  }
  cr_assert(passed.headers.Get("Content-Type") == "application/json");
}

// Guards against a key in the query, also when its name or value is encoded.
Test(proxy, credentials_are_removed_from_the_query) {
  cr_assert_eq(StripQuery("/p?a=1&key=x&b=2", kKey), "/p?a=1&b=2");
  cr_assert_eq(StripQuery("/p?API_KEY=x", kKey), "/p");
  cr_assert_eq(StripQuery("/p?%61ccess_token=x&c", kKey), "/p?c");
  cr_assert_eq(StripQuery("/p?q=sk-0123456789abcde%66", kKey), "/p");
  cr_assert_eq(StripQuery("/p?keys=1&monkey=2", kKey), "/p?keys=1&monkey=2");
  cr_assert_eq(StripQuery("/p", kKey), "/p");
}

// Guards against a key that reaches a server in the path.
Test(proxy, key_in_the_path_is_refused) {
  const auto refused = ToOutcome([] {
    return BackendRequest(RequestWith({}), "/a/" + std::string(kKey), Stamp());
  });
  cr_assert(!refused.has_value());
  cr_assert(refused.error().code == error_code::kBadRequest);
  cr_assert(refused.error().ran == ran_state::kNo);
}

// Guards against callers that choose a workspace or name another's request.
Test(proxy, callers_cannot_set_fields_of_entry_hosts) {
  const auto request = RequestWith({{"x-dogwood-workspace", "victim"},
                                    {"X-Dogwood-Other", "1"},
                                    {"x-request-id", "host-2"},
                                    {"X-Resume-From", "7"}});
  const auto passed = Passed(request, "/v1/completions");
  cr_assert_eq(passed.headers.fields.size(), 2U);
  cr_assert(passed.headers.Get("X-Dogwood-Workspace") == "reading");
  cr_assert(passed.headers.Get("X-Request-Id") == "host-1");
}

// Guards against hop-by-hop fields that would change the framing between the
// entry host and the server, and against request smuggling with them.
Test(proxy, hop_by_hop_fields_are_removed) {
  const auto request = RequestWith({{"Connection", "close, X-Hop"},
                                    {"X-Hop", "1"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"Content-Length", "5"},
                                    {"Upgrade", "h2c"},
                                    {"TE", "trailers"},
                                    {"Accept", "*/*"}});
  const auto passed = Passed(request, "/x");
  cr_assert_eq(passed.headers.fields.size(), 3U);
  cr_assert(passed.headers.Get("Accept") == "*/*");
  http_headers answer;
  answer.fields = {{"Transfer-Encoding", "chunked"},
                   {"Dogwood-Ran", "no"},
                   {"Content-Type", "text/plain"}};
  const auto shown = CallerHeaders(answer, "host-1");
  cr_assert_eq(shown.fields.size(), 2U);
  cr_assert(shown.Get("X-Request-Id") == "host-1");
}

// Guards against the answer to another request, come late or crossed, being
// passed on.
Test(proxy, answers_that_name_another_request_are_refused) {
  http_head head;
  cr_assert(ResponseMatchesRequest(head, "host-1"));
  head.headers.Set("x-request-id", "host-1");
  cr_assert(ResponseMatchesRequest(head, "host-1"));
  head.headers.Set("X-Request-Id", "host-2");
  cr_assert(!ResponseMatchesRequest(head, "host-1"));
}

// Guards against a cut stream that counts as whole, and against events that
// are cut or joined wrongly when they arrive in other pieces.
Test(proxy, events_are_whole_in_any_pieces) {
  cr_assert(rc::check("events", CheckEvents));
}

// Guards against text that merely looks like the last event.
Test(proxy, only_the_exact_last_event_counts) {
  for (const auto* text :
       {"data: [DONE]", "data: [DONE]\n", "data: [DONE] \n\n",
        "data: {\"text\":\"[DONE]\"}\n\n", "event: [DONE]\n\n",
        ": data: [DONE]\n\n"}) {
    sse_parser parser;
    const auto events = ToOutcome([&] { return parser.Feed(text); });
    cr_assert(events.has_value());
    cr_assert(!parser.IsDone(), "%s", text);
  }
}

// Guards against memory that a server fills with an event without an end.
Test(proxy, an_endless_event_is_refused) {
  sse_parser parser;
  const std::string text(kMaxEventBytes + 1, 'x');
  const auto events = ToOutcome([&] { return parser.Feed(text); });
  cr_assert(!events.has_value());
  cr_assert(events.error().ran == ran_state::kMaybe);
}

// Guards against bodies that crash the parser or route by accident.
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
