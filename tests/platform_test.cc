/** Tests of the platform client against canned responses. */
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <optional>

#include "src/core.h"
#include "src/http.h"
#include "src/platform.h"

// Last: macros of Criterion clash with Boost headers that follow it.
#include <criterion/criterion.h>

namespace dogwood::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/** Fake platform: its next response and its last request. */
struct canned_platform {
  unsigned status = 200;  ///< Status of the next response.
  std::string body;       ///< Body of the next response.
  std::string target;     ///< Target of the last request.
  std::string received;   ///< Body of the last request.
};

auto Handle(canned_platform& platform, http_exchange& exchange)
    -> asio::awaitable<void> {
  platform.target = exchange.Request().target;
  platform.received = exchange.Request().body;
  auto response = JsonResponse(platform.status, platform.body);
  co_await exchange.Respond(std::move(response));
}

/** Returns a deadline that is reached only if the test hangs. */
auto FarDeadline() -> time_point {
  return clock::now() + std::chrono::seconds(20);
}

/** Outcome of a client's call; empty until it has ended. */
template <typename T>
using pending_result = std::optional<outcome<T>>;

auto RunAppend(const platform_client& client,
               pending_result<append_range>& stored) -> asio::awaitable<void> {
  std::vector<std::string> records{"a", "b\"c"};
  stored.emplace(co_await client.Append("config", records, FarDeadline()));
}

auto RunRead(const platform_client& client, pending_result<log_page>& stored)
    -> asio::awaitable<void> {
  stored.emplace(co_await client.Read(
      "config", log_offset(5), 2, std::chrono::milliseconds(7), FarDeadline()));
}

auto RunBounds(const platform_client& client, pending_result<log_page>& stored)
    -> asio::awaitable<void> {
  stored.emplace(co_await client.ReadBounds("config", FarDeadline()));
}

auto RunHosts(const platform_client& client,
              pending_result<std::vector<listed_host>>& stored)
    -> asio::awaitable<void> {
  stored.emplace(co_await client.Hosts(FarDeadline()));
}

/** Runs one call against a canned response and returns its outcome. */
template <typename T, typename F>
auto Call(canned_platform& platform, F call) -> outcome<T> {
  asio::io_context io;
  tcp::acceptor probe(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto endpoint = probe.local_endpoint();
  probe.close();
  http_server server(io, http_limits(), [&platform](http_exchange& exchange) {
    return Handle(platform, exchange);
  });
  pending_result<T> stored;
  const platform_client client(endpoint);
  if (!server.Listen(endpoint)) {
    return failure{.message = "no port", .step = "", .peer = ""};
  }
  asio::co_spawn(asio::make_strand(io), call(client, stored),
                 [&io](const std::exception_ptr&) { io.stop(); });
  io.run();
  return *stored;
}

}  // namespace
}  // namespace dogwood::testing

using namespace dogwood;           // NOLINT
using namespace dogwood::testing;  // NOLINT

// Guards against ran=no for an append whose response is invalid or an error
// that does not rule out an effect: the caller would not send the append again.
Test(platform, only_a_4xx_refusal_of_an_append_means_no_effect) {
  canned_platform platform;
  platform.body = R"({"first":7,"next":9})";
  const auto done = Call<append_range>(platform, RunAppend);
  cr_assert_eq(done->first.value, 7);
  cr_assert_eq(done->next.value, 9);
  cr_assert_str_eq(platform.target.c_str(), "/v1/streams/config/append");
  cr_assert_str_eq(platform.received.c_str(), R"({"records":["a","b\"c"]})");
  for (const auto* body : {R"({"first":7,"next":8})", "{}", "x"}) {
    platform.body = body;
    const auto unclear = Call<append_range>(platform, RunAppend);
    cr_assert(unclear.error().ran == ran_state::kMaybe);
  }
  platform.status = 503;
  cr_assert(Call<append_range>(platform, RunAppend).error().ran ==
            ran_state::kMaybe);
  platform.status = 429;
  const auto refused = Call<append_range>(platform, RunAppend);
  cr_assert(refused.error().ran == ran_state::kNo);
  cr_assert(refused.error().code == error_code::kTooManyRequests);
}

// Guards against records with wrong offsets, and against taking a full page for
// the end of the stream, which would prove freshness wrongly.
Test(platform, pages_are_checked_and_full_pages_do_not_reach_the_end) {
  canned_platform platform;
  platform.body = R"({"first":2,"from":5,"next":6,"records":["a"]})";
  const auto tail = Call<log_page>(platform, RunRead);
  cr_assert(tail->ReachesStreamEnd());
  cr_assert_str_eq(platform.target.c_str(),
                   "/v1/streams/config/records?from=5&limit=2&wait_ms=7");
  platform.body = R"({"first":2,"from":5,"next":7,"records":["a","b"]})";
  cr_assert_not(Call<log_page>(platform, RunRead)->ReachesStreamEnd());
  for (const auto* body : {R"({"first":2,"from":4,"next":7,"records":["a"]})",
                           R"({"first":2,"from":5,"next":7,"records":[1]})",
                           R"({"from":5,"next":7,"records":[]})"}) {
    platform.body = body;
    cr_assert(Call<log_page>(platform, RunRead).error().code ==
              error_code::kBadGateway);
  }
  platform.status = 410;
  platform.body = R"({"first":40,"next":50})";
  cr_assert(Call<log_page>(platform, RunRead).error().code ==
            error_code::kNotFound);
  const auto bounds = Call<log_page>(platform, RunBounds);
  cr_assert_eq(bounds->first.value, 40);
  cr_assert_eq(bounds->next.value, 50);
}

// Guards against sending requests to a leaving server because its row was
// parsed wrongly, and against accepting a list with an invalid row.
Test(platform, the_host_list_is_parsed_completely) {
  canned_platform platform;
  platform.body = R"({"hosts":[{"id":"s","kind":"backend_server",
    "address":"127.0.0.1:1","data_centre":"d","region":"r","state":"leaving",
    "models":["m"],"services":[],"slots":8,"checks_fencing":true}]})";
  const auto hosts = Call<std::vector<listed_host>>(platform, RunHosts);
  cr_assert_eq(hosts->size(), 1);
  const auto& host = hosts->front();
  cr_assert(host.is_backend_server && host.leaving && host.checks_fencing);
  cr_assert_eq(host.slots, 8);
  cr_assert_eq(host.models.size(), 1);
  platform.body = R"({"hosts":[{}]})";
  cr_assert_not(Call<std::vector<listed_host>>(platform, RunHosts));
}
