#include "src/entryd_batch.h"

#include <boost/json/parse.hpp>
#include <utility>
#include <vector>

#include "src/entryd_base.h"
#include "src/entryd_proxy.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

/** Maximum number of batch daemons tried for one request. */
constexpr std::size_t kMaxDaemons = 3;

/** Returns the links to try in order: this host's batch daemon, then those of
 * live members in the same region, then those in other regions. */
auto LinksToTry(const entry_state& state) -> std::vector<std::string> {
  std::vector<std::string> same_region;
  std::vector<std::string> other_regions;
  const auto members = state.replica.Read(
      [](const config_tree& tree) { return tree.Members(); });
  for (const auto& m : members) {
    if (m.state != member_state::kLive || m.host == state.options.host) {
      continue;
    }
    auto& links =
        m.region == state.options.place.region ? same_region : other_regions;
    links.push_back(m.batch_link);
  }
  std::vector<std::string> links{state.options.batchd_link};
  links.insert(links.end(), same_region.begin(), same_region.end());
  links.insert(links.end(), other_regions.begin(), other_regions.end());
  if (links.size() > kMaxDaemons) {
    links.resize(kMaxDaemons);
  }
  return links;
}

/** Whether another batch daemon may succeed after this failure. Every batch
 * request can be repeated safely, because submissions carry an
 * Idempotency-Key. */
auto MayTryNext(const failure& error) -> bool {
  return error.code == error_code::kUnavailable ||
         error.code == error_code::kDeadlineExceeded ||
         error.code == error_code::kBadGateway;
}

/** Tries the batch daemons one after the other until one answers. If all fail,
 * returns the last failure, with ran=maybe if any attempt may have run. */
auto CallBatchd(entry_state& state, const wire::http_callT& call)
    -> asio::awaitable<outcome<wire_message>> {
  failure last{.code = error_code::kUnavailable,
               .message = "no batch daemon is known",
               .ran = ran_state::kNo,
               .step = "call batchd",
               .peer = ""};
  auto ran = ran_state::kNo;
  for (const auto& address : LinksToTry(state)) {
    auto link = state.links.Get(address);
    if (!link) {
      continue;
    }
    auto message = MakeMessage(wire::http_callT(call));
    auto answer = co_await link->Call(
        std::move(message), clock::now() + state.options.batch_call_timeout);
    if (answer) {
      co_return answer;
    }
    last = answer.error();
    ran = last.ran == ran_state::kMaybe ? last.ran : ran;
    last.ran = ran;
    if (!MayTryNext(last)) {
      break;
    }
  }
  co_return last;
}

/** Returns "ran" of a JSON failure body; empty if the body is not one. */
auto ParseRan(const std::string& body) -> std::string {
  boost::json::error_code ec;
  const auto parsed = boost::json::parse(body, ec);
  const auto* ran = ec ? nullptr : parsed.find_pointer("/error/ran", ec);
  return ran != nullptr && ran->is_string() ? std::string(ran->get_string())
                                            : std::string();
}

/** Converts the batch daemon's reply to the HTTP response for the caller. */
auto ToResponse(wire::http_replyT reply) -> http_response {
  http_response response;
  response.status = reply.status;
  response.headers.Set("Content-Type", reply.content_type);
  if (reply.status >= 400) {
    const auto ran = ParseRan(reply.body);
    response.headers.Set("Dogwood-Ran", ran.empty() ? "maybe" : ran);
  }
  response.body = std::move(reply.body);
  return response;
}

}  // namespace

auto ForwardBatch(entry_state& state, http_exchange& exchange, caller who)
    -> asio::awaitable<void> {
  const auto& request = exchange.Request();
  const bool is_submission =
      request.method == "POST" && request.Path() == "/v1/batches";
  const auto idempotency_key = request.headers.Get("Idempotency-Key");
  if (is_submission && idempotency_key.empty()) {
    failure error{.code = error_code::kBadRequest,
                  .message = "the header Idempotency-Key is required",
                  .ran = ran_state::kNo,
                  .step = "submit batch",
                  .peer = ""};
    co_await Refuse(state, exchange, std::move(error));
    co_return;
  }
  wire::http_callT call;
  call.method = request.method;
  call.path = RemoveQueryCredentials(request.target, who.key);
  call.workspace = who.workspace.value;
  call.idempotency_key = idempotency_key;
  call.body = request.body;
  call.forwarded = false;
  auto answer = co_await CallBatchd(state, call);
  if (!answer) {
    co_await Refuse(state, exchange, answer.error());
    co_return;
  }
  const auto* reply = answer->Ashttp_reply();
  if (reply == nullptr) {
    failure error{.code = error_code::kBadGateway,
                  .message = "the batch daemon sent another kind of answer",
                  .ran = ran_state::kMaybe,
                  .step = "call batchd",
                  .peer = ""};
    co_await Refuse(state, exchange, std::move(error));
    co_return;
  }
  state.metrics.CountAnswer(reply->status);
  co_await exchange.Respond(ToResponse(*reply));
}

}  // namespace dogwood
