/** Tests of the platform client against canned answers. */
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

/** What the platform answers, and what it was asked. */
struct canned_platform {
  unsigned status = 200;  ///< Status of the next answer.
  std::string body;       ///< Its body.
  std::string target;     ///< Target of the last request.
  std::string received;   ///< Its body.
};

auto Handle(canned_platform& canned, http_exchange& exchange)
    -> asio::awaitable<void> {
  canned.target = exchange.Request().target;
  canned.received = exchange.Request().body;
  auto response = JsonResponse(canned.status, canned.body);
  co_await exchange.Respond(std::move(response));
}

/** Far enough that only a hang reaches it. */
auto Later() -> time_point {
  return clock::now() + std::chrono::seconds(20);
}

/** Calls of a client, as coroutines that store what they got. */
template <typename T>
using slot = std::optional<outcome<T>>;

auto RunAppend(const platform_client& client, slot<append_range>& into)
    -> asio::awaitable<void> {
  std::vector<std::string> records{"a", "b\"c"};
  into.emplace(co_await client.Append("config", records, Later()));
}

auto RunRead(const platform_client& client, slot<log_page>& into)
    -> asio::awaitable<void> {
  into.emplace(co_await client.Read("config", log_offset(5), 2,
                                    std::chrono::milliseconds(7), Later()));
}

auto RunBounds(const platform_client& client, slot<log_page>& into)
    -> asio::awaitable<void> {
  into.emplace(co_await client.ReadBounds("config", Later()));
}

auto RunHosts(const platform_client& client,
              slot<std::vector<listed_host>>& into) -> asio::awaitable<void> {
  into.emplace(co_await client.Hosts(Later()));
}

/** Runs one call against an answer. */
template <typename T, typename F>
auto Call(canned_platform& canned, F call) -> outcome<T> {
  asio::io_context io;
  tcp::acceptor probe(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const auto endpoint = probe.local_endpoint();
  probe.close();
  http_server server(io, http_limits(), [&canned](http_exchange& exchange) {
    return Handle(canned, exchange);
  });
  slot<T> got;
  const platform_client client(endpoint);
  if (!server.Listen(endpoint)) {
    return failure{.message = "no port", .step = "", .peer = ""};
  }
  asio::co_spawn(asio::make_strand(io), call(client, got),
                 [&io](const std::exception_ptr&) { io.stop(); });
  io.run();
  return *got;
}

}  // namespace
}  // namespace dogwood::testing

using namespace dogwood;           // NOLINT
using namespace dogwood::testing;  // NOLINT

// Guards against an append whose answer is unclear being taken as refused,
// after which the caller would not send it again.
Test(platform, only_a_named_refusal_of_an_append_means_no_effect) {
  canned_platform canned;
  canned.body = R"({"first":7,"next":9})";
  const auto done = Call<append_range>(canned, RunAppend);
  cr_assert_eq(done->first.value, 7);
  cr_assert_eq(done->next.value, 9);
  cr_assert_str_eq(canned.target.c_str(), "/v1/streams/config/append");
  cr_assert_str_eq(canned.received.c_str(), R"({"records":["a","b\"c"]})");
  for (const auto* body : {R"({"first":7,"next":8})", "{}", "x"}) {
    canned.body = body;
    const auto unclear = Call<append_range>(canned, RunAppend);
    cr_assert(unclear.error().ran == ran_state::kMaybe);
  }
  canned.status = 503;
  cr_assert(Call<append_range>(canned, RunAppend).error().ran ==
            ran_state::kMaybe);
  canned.status = 429;
  const auto refused = Call<append_range>(canned, RunAppend);
  cr_assert(refused.error().ran == ran_state::kNo);
  cr_assert(refused.error().code == error_code::kTooManyRequests);
}

// Guards against records taken at wrong offsets, and against a full page taken
// as the end of the stream, which would prove freshness wrongly.
Test(platform, pages_are_checked_and_full_ones_are_no_tail) {
  canned_platform canned;
  canned.body = R"({"first":2,"from":5,"next":6,"records":["a"]})";
  const auto tail = Call<log_page>(canned, RunRead);
  cr_assert(tail->ReachesStreamEnd());
  cr_assert_str_eq(canned.target.c_str(),
                   "/v1/streams/config/records?from=5&limit=2&wait_ms=7");
  canned.body = R"({"first":2,"from":5,"next":7,"records":["a","b"]})";
  cr_assert_not(Call<log_page>(canned, RunRead)->ReachesStreamEnd());
  for (const auto* body : {R"({"first":2,"from":4,"next":7,"records":["a"]})",
                           R"({"first":2,"from":5,"next":7,"records":[1]})",
                           R"({"from":5,"next":7,"records":[]})"}) {
    canned.body = body;
    cr_assert(Call<log_page>(canned, RunRead).error().code ==
              error_code::kBadGateway);
  }
  canned.status = 410;
  canned.body = R"({"first":40,"next":50})";
  cr_assert(Call<log_page>(canned, RunRead).error().code ==
            error_code::kNotFound);
  const auto bounds = Call<log_page>(canned, RunBounds);
  cr_assert_eq(bounds->first.value, 40);
  cr_assert_eq(bounds->next.value, 50);
}

// Guards against a leaving server that still gets work because its row was
// read wrongly.
Test(platform, the_host_list_is_read_whole) {
  canned_platform canned;
  canned.body = R"({"hosts":[{"id":"s","kind":"backend_server",
    "address":"127.0.0.1:1","data_centre":"d","region":"r","state":"leaving",
    "models":["m"],"services":[],"slots":8,"checks_fencing":true}]})";
  const auto hosts = Call<std::vector<listed_host>>(canned, RunHosts);
  cr_assert_eq(hosts->size(), 1);
  const auto& host = hosts->front();
  cr_assert(host.is_backend_server && host.leaving && host.checks_fencing);
  cr_assert_eq(host.slots, 8);
  cr_assert_eq(host.models.size(), 1);
  canned.body = R"({"hosts":[{}]})";
  cr_assert_not(Call<std::vector<listed_host>>(canned, RunHosts));
}
