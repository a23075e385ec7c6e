/** Tests of the adapter's codecs, including malformed messages of the platform.
 */
#include <rapidcheck.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cctype>
#include <list>
#include <map>

#include "platform/adapter.h"
#include "platform/base64.h"
#include "src/core.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

constexpr std::string_view kState = R"({"version":7,"routes":[
 {"name":"r1","host":"one.example","pathPrefix":"/a/","kind":"streaming",
  "timeoutMs":5000,"targetLatencyMs":300,"priority":2,"resumable":true,
  "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "maxAttempts":2,"public":false,"gapAimMs":400},
 {"name":"r2","host":"one.example","pathPrefix":"/b/","kind":"batch",
  "service":"s1","completionTargetMs":18000,"retentionS":60,"maxAttempts":3,
  "maxCount":1100000},
 {"name":"broken","host":5},
 {"name":"r3","host":"two.example","pathPrefix":"/c/","kind":"unknown",
  "service":"s1"}],
 "services":[{"name":"s1","maxConns":170,"engine":{"slots":8}}, 5],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
  "headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["key-one"],"ratePerS":69,"burst":70}]})";

/** Returns a caller's request as received from the network, with forged fields.
 */
auto Request() -> http_request {
  http_request request;
  request.method = "POST";
  request.target = "/a/b?c=d";
  request.headers.fields = {{"Host", "one.example:80"},
                            {"X-Attempt-Id", "id-1"},
                            {"X-Key", "key-one"},
                            {"X-Tenant", "forged"},
                            {"X-Deadline-Ms", "5000"},
                            {"Last-Event-Id", "12"},
                            {"X-Model", "m"},
                            {"X-Expect-Instance", "forged"},
                            {"Connection", "keep-alive, X-Hop"},
                            {"X-Hop", "1"},
                            {"Transfer-Encoding", "chunked"}};
  request.body = "body";
  return request;
}

/** Property: no input crashes a decoder. */
auto RandomInputIsHarmless() -> bool {
  return rc::check("decoders take any bytes", [] {
    const auto input = *rc::gen::string<std::string>();
    adapter::DecodeState(input);
    adapter::DecodeServer("id", input, time_point());
    adapter::DecodeItems(input);
    adapter::SplitKeyedRecord(input);
    adapter::DecodeBase64(input);
    http_request request;
    request.method = "GET";
    request.target = input;
    request.headers.fields = {{"X-Deadline-Ms", input},
                              {"Last-Event-Id", input},
                              {"X-Wait-Ms", input}};
    adapter::DecodeRequest(request);
    adapter::DecodeAnswer({200,
                           {{{"X-Server-Load", input},
                             {"X-Cold-Ms", input},
                             {"Keep-Alive", input}}}});
  });
}

/** Property: a state with one changed byte yields at most the 3 well-formed
 * routes. */
auto DamagedStateAddsNoRoutes() -> bool {
  return rc::check("a damaged state names no new route", [] {
    std::string text(kState);
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = static_cast<char>(*rc::gen::inRange(32, 127));
    const auto state = adapter::DecodeState(text);
    // RC_ASSERT does not evaluate || from left to right.
    const bool is_bounded = !state || state->routes.size() <= 3;
    RC_ASSERT(is_bounded);
  });
}

}  // namespace

// Guards against fields that are mixed up, and against one malformed entry that
// makes the others fail.
Test(adapter, declared_state_becomes_typed) {
  const auto state = adapter::DecodeState(kState);
  cr_assert(state.has_value());
  cr_assert_eq(state->version.value, 7);
  cr_assert_eq(state->routes.size(), 2);
  const auto& route = state->routes[0];
  cr_assert_eq(static_cast<int>(route.kind),
               static_cast<int>(request_kind::kStream));
  cr_assert_eq(route.answer_timeout.count(), 5000);
  cr_assert_eq(route.objective.count(), 300);
  cr_assert_eq(route.event_gap_objective.count(), 400);
  cr_assert_eq(route.max_attempts, 2);
  cr_assert(route.resumable);
  cr_assert_eq(route.services.size(), 2);
  cr_assert_eq(route.services[0].weight, 90);
  cr_assert_eq(state->routes[1].completion_objective.count(), 18000);
  cr_assert_eq(state->routes[1].retention.count(), 60000);
  cr_assert_eq(state->services.size(), 1);
  cr_assert_eq(state->services[0].slots, 8);
  cr_assert_eq(state->limits.idle_timeout.count(), 15000);
  cr_assert(state->has_workspaces);
  cr_assert_eq(state->workspaces[0].rate_per_s, 69);
}

// Guards against plain-text keys in memory or logs.
Test(adapter, keys_are_stored_as_hashes) {
  const auto state = adapter::DecodeState(kState);
  cr_assert_eq(state->workspaces[0].hashes[0], Sha256Hex("key-one"));
}

// Guards against a malformed state, or one without version, that replaces a
// valid one.
Test(adapter, unreadable_state_is_refused) {
  cr_assert_not(adapter::DecodeState("{}").has_value());
  cr_assert_not(adapter::DecodeState("[]").has_value());
  cr_assert_not(adapter::DecodeState("{\"version\":-1}").has_value());
}

// Guards against servers taken from foreign or malformed registrations.
Test(adapter, only_valid_registrations_name_a_server) {
  const auto valid = adapter::DecodeServer(
      "i-1",
      R"({"service":"s1","address":"10.0.0.1:80","zone":"a","slots":8,
          "state":"draining","born":12,"more":[]})",
      time_point());
  cr_assert(valid.has_value());
  cr_assert(valid->leaving);
  cr_assert_eq(valid->slots, 8);
  cr_assert_eq(valid->start, 12);
  for (const auto* bad :
       {R"({"service":"s1","address":"x","slots":8,"state":"strange"})",
        R"({"service":"s1","address":7,"slots":8,"state":"ready"})",
        R"({"service":"s1","address":"x","slots":"8","state":"ready"})",
        R"({"address":"x","slots":8,"state":"ready"})", "", "\x01\x02"}) {
    cr_assert_not(adapter::DecodeServer("i-1", bad, time_point()).has_value());
  }
}

namespace {

/** JSON texts that no field of a registration but an ignored one may have. */
constexpr std::array<std::string_view, 14> kOddValues{"1e30",
                                                      "-1e30",
                                                      "1e400",
                                                      "-1",
                                                      "0.5",
                                                      "true",
                                                      "[]",
                                                      "{}",
                                                      R"("")",
                                                      "\"\\u0000\"",
                                                      "18446744073709551616",
                                                      R"("1e30")",
                                                      "[[[[1]]]]",
                                                      R"("127.0.0.1:70000")"};

/** Property: an entry with an odd value of one of the fields in use names no
 * server, and the failure names entry, field and value. */
auto OddEntriesNameNoServer() -> bool {
  return rc::check("an odd entry names no server", [] {
    const auto field = *rc::gen::elementOf(std::vector<std::string>{
        "service", "address", "state", "slots", "born", "zone"});
    const auto value = std::string(*rc::gen::elementOf(kOddValues));
    // A string is a proper service or data centre.
    RC_PRE(!value.starts_with('"') || (field != "service" && field != "zone"));
    std::map<std::string, std::string> fields{
        {"service", R"("s1")"},  {"address", R"("10.0.0.1:80")"},
        {"state", R"("ready")"}, {"slots", "8"},
        {"zone", R"("a")"},      {"born", "12"}};
    fields[field] = value;
    std::string text;
    for (const auto& [name, given] : fields) {
      text += (text.empty() ? "{\"" : ",\"") + name + "\":" + given;
    }
    const auto server = adapter::DecodeServer("i-1", text + "}", time_point());
    RC_ASSERT(!server.has_value());
    RC_ASSERT(server.error().peer == "i-1");
    const auto& message = server.error().message;
    const bool names_field =
        message.find("\"" + field + "\"") != std::string::npos;
    const bool is_unreadable = message.starts_with("is no JSON object");
    RC_ASSERT(names_field || is_unreadable);
  });
}

/** Property: whatever the numbers of a state, times and counts of its routes,
 * limits and workspaces are within their ranges. */
auto DeclaredNumbersAreBounded() -> bool {
  return rc::check("declared numbers are bounded", [] {
    auto text = std::string(kState);
    const auto number = *rc::gen::elementOf(
        std::vector<std::string>{"1e30", "-1e30", "-7", "1e308", "9e18",
                                 "18446744073709551616", "\"7\"", "null"});
    std::vector<std::pair<std::size_t, std::size_t>> numbers;
    for (std::size_t at = 13; at < text.size(); ++at) {
      if (text[at - 1] == ':' && std::isdigit(text[at]) != 0) {
        numbers.emplace_back(at, text.find_first_of(",}", at) - at);
      }
    }
    const auto [at, size] = *rc::gen::elementOf(numbers);
    text.replace(at, size, number);
    std::vector<failure> problems;
    const auto state = adapter::DecodeState(text, &problems);
    RC_ASSERT(state.has_value());
    using std::chrono::milliseconds;
    const milliseconds longest = std::chrono::hours(24 * 30);
    const auto in_range = [&](milliseconds d) {
      return d >= milliseconds(0) && d <= longest;
    };
    for (const auto& route : state->routes) {
      RC_ASSERT(in_range(route.answer_timeout));
      RC_ASSERT(in_range(route.objective));
      RC_ASSERT(in_range(route.event_gap_objective));
      RC_ASSERT(in_range(route.completion_objective));
      RC_ASSERT(in_range(route.retention));
      RC_ASSERT(route.max_attempts >= 1U);
    }
    for (const auto& workspace : state->workspaces) {
      RC_ASSERT(workspace.rate_per_s >= 0);
      RC_ASSERT(workspace.rate_per_s <= 1e9);
      RC_ASSERT(workspace.burst >= 0);
      RC_ASSERT(workspace.burst <= 1e9);
    }
    RC_ASSERT(in_range(state->limits.idle_timeout));
    RC_ASSERT(in_range(state->limits.header_timeout));
    const bool is_told = number == "null" || problems.size() > 1;
    RC_ASSERT(is_told);
  });
}

}  // namespace

// Guards against odd entries of another writer that are used as servers.
Test(adapter, odd_entries_name_no_server) {
  cr_assert(OddEntriesNameNoServer());
  for (const auto* address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:80x",
        "10.0.0.1", "host:80", "0.0.0.0:80", "255.255.255.255:80", "[::1]:80",
        ":80", "10.0.0.1:"}) {
    const auto server = adapter::DecodeServer(
        "i-1",
        R"({"service":"s1","slots":8,"state":"ready","address":")" +
            std::string(address) + R"("})",
        time_point());
    cr_assert_not(server.has_value(), "%s", address);
    cr_assert(server.error().message.find(address) != std::string::npos);
  }
}

// Guards against messages that don't tell what is wrong.
Test(adapter, messages_name_field_value_and_range) {
  const auto server = adapter::DecodeServer(
      "i-1",
      R"({"service":"s1","address":"10.0.0.1:80","state":"ready","slots":0})",
      time_point());
  cr_assert_not(server.has_value());
  cr_assert_eq(server.error().message,
               "field \"slots\" is 0, not a number from 1 to 10000");
}

// Guards against deep nesting that overflows the stack.
Test(adapter, deeply_nested_entries_are_refused) {
  for (const std::size_t depth : {40UL, 200000UL}) {
    const auto nested =
        R"({"service":"s1","address":"10.0.0.1:80","slots":8,"state":"ready","a":)" +
        std::string(depth, '[') + std::string(depth, ']') + "}";
    cr_assert_not(
        adapter::DecodeServer("i-1", nested, time_point()).has_value());
    cr_assert_not(adapter::DecodeState(R"({"version":1,"a":)" + nested + "}")
                      .has_value());
    cr_assert_not(adapter::DecodeItems(nested).has_value());
  }
}

// Guards against times and limits that overflow when they are used.
Test(adapter, declared_numbers_are_bounded) {
  cr_assert(DeclaredNumbersAreBounded());
}

// Guards against keys in the messages about a malformed state.
Test(adapter, messages_show_no_keys) {
  std::vector<failure> problems;
  adapter::DecodeState(
      R"({"version":1,"tenants":[{"name":5,"apiKeys":"key-one","burst":-1},
          {"name":"","apiKeys":{"a":"key-one"}}]})",
      &problems);
  cr_assert_eq(problems.size(), 3);
  for (const auto& problem : problems) {
    cr_assert(problem.message.find("key-one") == std::string::npos);
  }
}

// Guards against numbers in heads that overflow when they are used.
Test(adapter, numbers_in_heads_are_bounded) {
  for (const auto* huge : {"18446744073709551615", "9223372036854775808",
                           "4294967297", "99999999999999999999999"}) {
    const std::string text = huge;
    const auto answer =
        adapter::DecodeAnswer({200,
                               {{{"X-Server-Load", text + "," + text + ",8"},
                                 {"X-Cold-Ms", text},
                                 {"Keep-Alive", "timeout=" + text}}}});
    if (answer.load) {
      cr_assert_leq(answer.load->running, 1000000);
      cr_assert_leq(answer.load->waiting, 1000000);
      // Not what the number is modulo a power of two.
      cr_assert_geq(answer.load->running, 1000000);
    }
    cr_assert(!answer.keep_alive_s || *answer.keep_alive_s == 86400);
    http_request request;
    request.method = "GET";
    request.target = "/api/lots/a";
    request.headers.fields = {{"X-Deadline-Ms", text}, {"X-Wait-Ms", text}};
    const auto caller = adapter::DecodeRequest(request);
    if (caller.time_remaining) {
      cr_assert_eq(caller.time_remaining->count(), 86400000);
    }
    cr_assert_geq(caller.result_wait.count(), 0);
    cr_assert_leq(caller.result_wait.count(), 86400000);
    const auto items = adapter::DecodeItems(
        R"({"items":[{"id":"a","path":"/b/","body":"","tokens":)" + text +
        "}]}");
    cr_assert(!items || items.value()[0].tokens <= 1000000000);
  }
}

// Guards against forwarding a key, a forged workspace or hop-by-hop fields to a
// server.
Test(adapter, servers_get_neither_keys_nor_forged_fields) {
  const forward_spec spec{.server = server_id("i-1"),
                          .workspace = workspace_id("t1"),
                          .time_remaining = std::chrono::milliseconds(4200),
                          .resume_after = 15};
  const auto sent = adapter::EncodeForServer(Request(), spec);
  cr_assert_eq(sent.target, "/a/b?c=d");
  cr_assert_eq(sent.headers.Get("X-Key"), "");
  cr_assert_eq(sent.headers.Get("X-Tenant"), "t1");
  cr_assert_eq(sent.headers.Get("X-Expect-Instance"), "i-1");
  cr_assert_eq(sent.headers.Get("X-Deadline-Ms"), "4200");
  cr_assert_eq(sent.headers.Get("Last-Event-Id"), "15");
  cr_assert_eq(sent.headers.Get("X-Attempt-Id"), "id-1");
  cr_assert_eq(sent.headers.Get("Host"), "one.example:80");
  cr_assert_eq(sent.headers.Get("X-Hop"), "");
  cr_assert_eq(sent.headers.Get("Transfer-Encoding"), "");
  for (const auto& field : sent.headers.fields) {
    cr_assert_eq(field.value.find("key-one"), std::string::npos);
    cr_assert_neq(field.value, "forged");
  }
  // Without a workspace, the field sent by the caller must still be removed.
  auto open = spec;
  open.workspace = workspace_id();
  cr_assert_eq(
      adapter::EncodeForServer(Request(), open).headers.Get("X-Tenant"), "");
}

// Guards against wrongly decoded fields of a caller's request.
Test(adapter, callers_requests_become_typed) {
  const auto caller = adapter::DecodeRequest(Request());
  cr_assert_eq(caller.host, "one.example");
  cr_assert_eq(caller.path, "/a/b");
  cr_assert_eq(caller.attempt.value, "id-1");
  cr_assert_eq(caller.key_hash, Sha256Hex("key-one"));
  cr_assert_eq(caller.time_remaining->count(), 5000);
  cr_assert_eq(caller.resume_after, 12);
}

// Guards against regions of a route or workspace that are lost in decoding, and
// so do not bind.
Test(adapter, allowed_regions_are_decoded) {
  std::vector<failure> problems;
  const auto state = adapter::DecodeState(
      R"({"version":1,"routes":[{"host":"h","pathPrefix":"/p/",
          "kind":"streaming","service":"s","allowedRegions":["east","west"]}],
          "tenants":[{"name":"t1","allowedRegions":["west"]},
                     {"name":"t2","allowedRegions":"west"}]})",
      &problems);
  cr_assert(state.has_value());
  cr_assert_eq(state->routes[0].regions.size(), 2);
  cr_assert(state->workspaces[0].regions.contains(region_id("west")));
  cr_assert_eq(problems.size(), 1);
  cr_assert(problems[0].message.find("allowedRegions") != std::string::npos);
}

// Guards against features that take effect where nobody has asked for them.
Test(adapter, features_follow_from_the_contract) {
  cr_assert_not(adapter::DecodeFeatures({}).regional_jobs);
  cr_assert_not(adapter::DecodeFeatures({"base", "batch"}).learns_speed);
  const auto features = adapter::DecodeFeatures({"base", "places"});
  cr_assert(features.regional_jobs);
  cr_assert_not(features.learns_speed);
  cr_assert(adapter::DecodeFeatures({"pressure"}).learns_speed);
}

// Guards against calls on jobs that are mixed up.
Test(adapter, calls_on_jobs_are_distinguished) {
  http_request request;
  request.method = "GET";
  request.target = "/api/lots/j1?after=12";
  request.headers.Set("X-Wait-Ms", "1000");
  auto caller = adapter::DecodeRequest(request);
  cr_assert_eq(static_cast<int>(caller.call),
               static_cast<int>(caller_call::kJobResults));
  cr_assert_eq(caller.job, "j1");
  cr_assert_eq(caller.position, 12);
  cr_assert_eq(caller.result_wait.count(), 1000);
  request.method = "DELETE";
  cr_assert_eq(static_cast<int>(adapter::DecodeRequest(request).call),
               static_cast<int>(caller_call::kJobEnd));
  request.method = "GET";
  request.target = "/api/items/j1?id=i%2D1";
  caller = adapter::DecodeRequest(request);
  cr_assert_eq(static_cast<int>(caller.call),
               static_cast<int>(caller_call::kJobItem));
  cr_assert_eq(caller.item, "i-1");
}

// Guards against a success that loses the server's proof on its way to the
// caller.
Test(adapter, a_proof_is_one_that_is_passed_on) {
  const dogwood::http_header proof{"X-Server-Seal", "a"};
  const auto has_proof = [&](const std::string& options) {
    return adapter::DecodeAnswer({200, {{proof, {"Connection", options}}}})
        .has_proof;
  };
  cr_assert(has_proof("keep-alive"));
  cr_assert(has_proof("X-Other"));
  cr_assert_not(has_proof("close, x-server-seal"));
}

// Guards against a request that is treated as not run although it may have run.
Test(adapter, only_explicit_statements_count_as_not_run) {
  cr_assert(adapter::DecodeAnswer({503, {{{"X-Not-Executed", "1"}}}}).not_run);
  cr_assert(adapter::DecodeAnswer({421, {}}).not_run);
  cr_assert_not(adapter::DecodeAnswer({503, {}}).not_run);
  cr_assert_not(adapter::DecodeAnswer({500, {}}).not_run);
  cr_assert(
      adapter::DecodeAnswer({503, {{{"Server-Leaving", "1"}}}}).is_leaving);
  cr_assert_not(adapter::DecodeAnswer({200, {}}).is_leaving);
  // Said by the server that took over the address.
  cr_assert_not(
      adapter::DecodeAnswer({421, {{{"Server-Leaving", "1"}}}}).is_leaving);
  const auto answer = adapter::DecodeAnswer(
      {200,
       {{{"X-Server-Load", "3,1,8"}, {"Keep-Alive", "timeout=5, max=9"}}}});
  cr_assert_eq(answer.load->running, 3);
  cr_assert_eq(answer.load->waiting, 1);
  cr_assert_eq(*answer.keep_alive_s, 5);
}

// Guards against cold servers that are taken for warm ones, and against a cold
// time that another server has stated or that cannot be used.
Test(adapter, cold_times_and_rates_are_decoded) {
  std::vector<failure> problems;
  const auto state = adapter::DecodeState(
      R"({"version":1,"services":[{"name":"a","coldPerS":7.2},{"name":"b"},
          {"name":"c","coldPerS":-1},{"name":"d","coldPerS":"7"}]})",
      &problems);
  cr_assert(state.has_value());
  cr_assert_float_eq(state->services[0].cold_starts_per_s, 7.2, 1e-9);
  for (const std::size_t i : {1UL, 2UL, 3UL}) {
    cr_assert_eq(state->services[i].cold_starts_per_s, 0);
  }
  cr_assert_eq(problems.size(), 2);

  const auto arrived = time_point(std::chrono::seconds(100));
  const auto cold_until = [&](const std::string& left) {
    const auto server = adapter::DecodeServer(
        "i-1",
        R"({"service":"s1","address":"10.0.0.1:80","slots":8,"state":"ready",
            "coldLeftMs":)" +
            left + "}",
        arrived);
    cr_assert(server.has_value());
    return server->cold_until;
  };
  cr_assert(cold_until("0") == time_point());
  cr_assert(cold_until("1500") == arrived + std::chrono::milliseconds(1500));
  cr_assert(cold_until("0.5") == arrived + std::chrono::milliseconds(1));
  cr_assert(cold_until("1e18") == arrived + std::chrono::hours(24 * 30));

  const auto answer = [](unsigned status, const std::string& left) {
    return adapter::DecodeAnswer({status, {{{"X-Cold-Ms", left}}}});
  };
  cr_assert_eq(answer(200, "2500").cold_left->count(), 2500);
  cr_assert_not(answer(421, "2500").cold_left.has_value());
  for (const auto* bad : {"-1", "x", "99999999999999999999999"}) {
    cr_assert_not(answer(200, bad).cold_left.has_value());
    cr_assert(answer(200, bad).has_bad_cold_time);
  }
  cr_assert_not(adapter::DecodeAnswer({200, {}}).has_bad_cold_time);
}

// Guards against a load that is lost, or a figure that is made up, because the
// fourth number is missing or malformed.
Test(adapter, figure_of_speed_is_read_from_the_load) {
  const auto load = [](const char* text) {
    return *adapter::DecodeAnswer({200, {{{"X-Server-Load", text}}}}).load;
  };
  cr_assert_eq(load("3,1,8,250").slowness_percent, 250U);
  cr_assert_eq(load("3, 1, 8, 97").slowness_percent, 97U);
  for (const auto* text : {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,-5"}) {
    cr_assert_not(load(text).slowness_percent, "%s", text);
    cr_assert_eq(load(text).slots, 8);
  }
}

// Guards against a part of a prompt that is taken for another one, or for the
// last part, which is the request's own.
Test(adapter, parts_of_prompts_are_told_apart) {
  const auto parts = [](std::string_view text) {
    return adapter::DecodePrompt({{{"X-Prompt-Prefix", std::string(text)}}});
  };
  const auto prompt = parts("5c1e:800,91bd:410,e440:250");
  cr_assert_eq(prompt.shared.size(), 2);
  cr_assert(prompt.shared[0] == parts("5c1e:9").own);
  cr_assert(prompt.own == parts("91bd:1, e440:7").own);
  cr_assert(parts("").shared.empty());
  cr_assert(parts("a:1").shared.empty());
  cr_assert(parts(",,a:1,").shared.empty());
}

// Guards against items that are sent to a server with a wrong body or wrong
// fields.
Test(adapter, items_are_decoded_and_sent_as_submitted) {
  const auto items = adapter::DecodeItems(
      R"({"items":[{"id":"i1","path":"/p/1","headers":{"X-Model":"m"},
          "body":"q83v","tokens":9}]})");
  cr_assert(items.has_value());
  const auto request = adapter::ItemRequest(items.value()[0], "one.example");
  cr_assert_eq(request.method, "POST");
  cr_assert_eq(request.target, "/p/1");
  cr_assert_eq(request.headers.Get("X-Attempt-Id"), "i1");
  cr_assert_eq(request.headers.Get("X-Model"), "m");
  cr_assert_eq(request.headers.Get("Host"), "one.example");
  cr_assert_eq(request.body, "\xab\xcd\xef");
  cr_assert_not(adapter::DecodeItems(R"({"items":[{"id":5}]})").has_value());
  cr_assert_not(adapter::DecodeItems("{}").has_value());
}

// Guards against items that make a server run other requests than their own.
Test(adapter, items_that_are_no_single_request_are_rejected) {
  for (const auto* item :
       {R"({"id":"i1","path":"/p","headers":{"X-A":"1\r\nX-Tenant: beta"}})",
        R"({"id":"i1","path":"/p","headers":{"X-A: 1\r\nX-B":"1"}})",
        R"({"id":"i1","path":"/p HTTP/1.1\r\nX-A: 1\r\nX-B:"})",
        R"({"id":"i1\r\n\r\nPOST /q HTTP/1.1","path":"/p"})",
        R"({"id":"i1","path":"p"})"}) {
    const auto items = adapter::DecodeItems(
        R"({"items":[{"id":"i0","path":"/p"},)" + std::string(item) + "]}");
    cr_assert(items.has_error(), "%s", item);
    cr_assert(items.error().code == error_code::kBadRequest);
    cr_assert(items.error().message.find("item \"i1") != std::string::npos);
  }
}

// Guards against wrongly decoded base64.
Test(adapter, base64_is_exact) {
  cr_assert_eq(*adapter::DecodeBase64(""), "");
  cr_assert_eq(*adapter::DecodeBase64("YQ=="), "a");
  cr_assert_eq(*adapter::DecodeBase64("YWI="), "ab");
  cr_assert_eq(*adapter::DecodeBase64("YWJj"), "abc");
  cr_assert_not(adapter::DecodeBase64("YWJ").has_value());
  cr_assert_not(adapter::DecodeBase64("Y*==").has_value());
}

// Guards against a removed registration that is mistaken for an empty one.
Test(adapter, keyed_records_distinguish_removal) {
  const auto record = adapter::SplitKeyedRecord(std::string("\x02idtext"));
  cr_assert_eq(record->key, "id");
  cr_assert_eq(*record->value, "text");
  const auto removed = adapter::SplitKeyedRecord(std::string("\x02id"));
  cr_assert_not(removed->value.has_value());
  cr_assert_not(adapter::SplitKeyedRecord("\x09id").has_value());
  cr_assert_not(adapter::SplitKeyedRecord("").has_value());
}

// Guards against evacuations that are taken for other records of their topic,
// and against one that names no data centre and hits servers without one.
Test(adapter, keys_of_evacuations_name_a_data_centre) {
  const auto decoded = adapter::DecodeEvacuationKey("evacuate/east-a");
  cr_assert_eq(decoded->value, "east-a");
  cr_assert_eq(adapter::DecodeEvacuationKey("evacuate/a/b")->value, "a/b");
  for (const auto* key : {"config", "evacuate", "evacuate/", "Evacuate/east-a",
                          "x/evacuate/east-a", ""}) {
    cr_assert_not(adapter::DecodeEvacuationKey(key).has_value());
  }
}

// Guards against a Retry-After that callers cannot parse.
Test(adapter, retry_after_has_fractions) {
  http_headers fields;
  adapter::SetRetryAfter(fields, std::chrono::milliseconds(1050));
  cr_assert_eq(fields.Get("Retry-After"), "1.050");
}

Test(adapter, random_input_is_harmless) {
  cr_assert(RandomInputIsHarmless());
}

Test(adapter, damaged_state_adds_no_routes) {
  cr_assert(DamagedStateAddsNoRoutes());
}

// Guards against limits of waiting tokens that are ignored.
Test(adapter, waiting_tokens_are_counted) {
  const auto state = adapter::DecodeState(kState);
  cr_assert(state.has_value());
  cr_assert_eq(state->routes[0].waiting_tokens_limit, 0);
  cr_assert_eq(state->routes[1].waiting_tokens_limit, 1100000);
  const auto items = adapter::DecodeItems(
      R"({"items":[{"id":"a","path":"/b/","body":"","tokens":940},
          {"id":"b","path":"/b/","body":"","tokens":"many"}]})");
  cr_assert(items.has_value());
  cr_assert_eq(items.value()[0].tokens, 940);
  cr_assert_eq(items.value()[1].tokens, 0);
}

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/** Answers each connection's request with a refusal that has no effect. */
auto RefuseCalls(tcp::acceptor& acceptor) -> asio::awaitable<void> {
  std::list<tcp::socket> sockets;
  while (true) {
    auto [ec, socket] = co_await acceptor.async_accept(kAwait);
    if (ec) {
      co_return;
    }
    sockets.push_back(std::move(socket));
    asio::co_spawn(
        acceptor.get_executor(),
        [](tcp::socket& s) -> asio::awaitable<void> {
          std::string text(1024, '\0');
          auto [failed, n] =
              co_await s.async_read_some(asio::buffer(text), kAwait);
          constexpr std::string_view kAnswer =
              "HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n";
          if (!failed && n > 0) {
            co_await s.async_send(asio::buffer(kAnswer), kAwait);
          }
        }(sockets.back()),
        asio::detached);
  }
}

/** Calls a store whose queue of new connections is full for its first 100 ms.
 * Returns whether it has answered within 900 ms. */
auto CallBusyStore() -> bool {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}, true);
  acceptor.listen(0);
  const auto endpoint = acceptor.local_endpoint();
  std::list<tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(io);
    fillers.back().async_connect(endpoint, asio::detached);
  }
  adapter::store_client client(endpoint);
  bool is_answered = false;
  auto call = [&]() -> asio::awaitable<void> {
    co_await Sleep(std::chrono::milliseconds(20));
    const auto deadline = clock::now() + std::chrono::milliseconds(900);
    auto owners = co_await client.Owners("g", deadline);
    is_answered = !owners && owners.error().ran == ran_state::kNo &&
                  owners.error().message == "status 503";
    acceptor.close();
    io.stop();
  };
  auto serve = [&]() -> asio::awaitable<void> {
    co_await Sleep(std::chrono::milliseconds(100));
    for (auto& filler : fillers) {
      filler.close();
    }
    co_await RefuseCalls(acceptor);
  };
  asio::co_spawn(io, call, asio::detached);
  asio::co_spawn(io, serve, asio::detached);
  io.run();
  return is_answered;
}

}  // namespace

// When all hosts start at once, the store's queue of new connections is full.
// Guards against calls that wait a second for an opening packet to be repeated.
Test(adapter, connect_is_begun_anew_at_a_busy_store) {
  cr_assert(CallBusyStore());
}

}  // namespace dogwood::testing
