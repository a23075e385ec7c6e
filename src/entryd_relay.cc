#include "src/entryd_relay.h"

#include <algorithm>
#include <utility>

#include "src/entryd_base.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

/** Returns the deadline of the next read of a response body. An engine sends
 * the head before the request leaves its queue, so the first part gets at least
 * until the first byte's deadline. */
auto ReadDeadline(const entry_state& state,
                  const proxy_plan& plan,
                  const relay_progress& progress,
                  bool is_first) -> time_point {
  const auto silence = clock::now() + state.options.between_bytes_timeout;
  const auto limit =
      is_first ? std::max<time_point>(silence, progress.first_part_deadline)
               : silence;
  return std::min<time_point>(plan.deadline, limit);
}

/** Returns the header fields of the response to the caller. Errors of the
 * server itself get Dogwood-Ran: maybe, since the server had the request. */
auto ResponseHeaders(const proxy_plan& plan, const http_head& head)
    -> http_headers {
  auto headers = MakeCallerHeaders(head.headers, plan.request_id);
  if (head.status >= 400) {
    headers.Set("Dogwood-Ran", NameOf(ran_state::kMaybe));
  }
  return headers;
}

/** Records metrics when the first part of a response is sent. */
auto RecordFirstPart(entry_state& state,
                     const proxy_plan& plan,
                     unsigned status) -> void {
  state.metrics.CountAnswer(status);
  state.metrics.RecordFirstToken(plan.who.workspace_class,
                                 clock::now() - plan.begin);
}

/** Starts a chunked response to the caller. */
auto BeginResponse(entry_state& state,
                   http_exchange& exchange,
                   const proxy_plan& plan,
                   const http_head& head) -> asio::awaitable<outcome<void>> {
  RecordFirstPart(state, plan, head.status);
  http_head passed;
  passed.status = head.status;
  passed.headers = ResponseHeaders(plan, head);
  co_return co_await exchange.BeginStream(std::move(passed));
}

/** Creates the failure for an event stream that ended too early. */
auto IncompleteResponse(std::string message,
                        const backend_connection& connection) -> failure {
  return {.code = error_code::kBadGateway,
          .message = std::move(message),
          .ran = ran_state::kMaybe,
          .step = "read events",
          .peer = connection.address()};
}

/** Relays the events that `data` completes. The response to the caller starts
 * with the first complete event; until then the request can be retried. */
template <last_event_rule Rule>
auto PassEvents(entry_state& state,
                http_exchange& exchange,
                const proxy_plan& plan,
                const http_head& head,
                basic_sse_parser<Rule>& parser,
                std::string data,
                relay_progress& progress) -> asio::awaitable<outcome<void>> {
  auto events = ToOutcome([&] { return parser.Feed(data); });
  if (!events) {
    co_return events.error();
  }
  std::string joined;
  for (const auto& event : events.value()) {
    joined += event;
  }
  if (joined.empty()) {
    co_return outcome<void>();
  }
  if (!progress.events_begun) {
    progress.events_begun = true;
    auto begun = co_await BeginResponse(state, exchange, plan, head);
    if (!begun) {
      co_return begun;
    }
  }
  co_return co_await exchange.WriteChunk(joined);
}

/** Ends the event stream to the caller after the server's framing has ended.
 * Fails if the stream is incomplete. */
template <last_event_rule Rule>
auto FinishEvents(entry_state& state,
                  http_exchange& exchange,
                  const proxy_plan& plan,
                  const http_head& head,
                  const basic_sse_parser<Rule>& parser,
                  const backend_connection& connection,
                  relay_progress& progress) -> asio::awaitable<outcome<void>> {
  constexpr bool kNeedsLastEvent = !std::same_as<Rule, no_last_event>;
  if (parser.HasPartialEvent()) {
    co_return IncompleteResponse("the stream ended within an event",
                                 connection);
  }
  if (kNeedsLastEvent && !parser.IsDone()) {
    co_return IncompleteResponse("the stream ended without [DONE]", connection);
  }
  if (!progress.events_begun) {
    progress.events_begun = true;
    auto begun = co_await BeginResponse(state, exchange, plan, head);
    if (!begun) {
      co_return begun;
    }
  }
  if (parser.IsDone()) {
    auto written = co_await exchange.WriteChunk(parser.last_event());
    if (!written) {
      co_return written;
    }
  }
  co_return co_await exchange.EndStream();
}

/** Relays a stream of server-sent events that ends by `Rule`. */
template <last_event_rule Rule>
auto RelayEvents(entry_state& state,
                 http_exchange& exchange,
                 const proxy_plan& plan,
                 backend_connection& connection,
                 const http_head& head,
                 relay_progress& progress) -> asio::awaitable<outcome<void>> {
  basic_sse_parser<Rule> parser;
  bool is_first = true;
  while (true) {
    const auto deadline = ReadDeadline(state, plan, progress, is_first);
    is_first = false;
    auto part = co_await connection.ReadSome(deadline);
    if (!part) {
      co_return part.error();
    }
    if (part->empty()) {
      break;
    }
    auto passed = co_await PassEvents(state, exchange, plan, head, parser,
                                      std::move(part.value()), progress);
    if (!passed) {
      co_return passed;
    }
  }
  co_return co_await FinishEvents(state, exchange, plan, head, parser,
                                  connection, progress);
}

/** Relays a response that is not an event stream. It is buffered up to
 * answer_buffer_bytes, so that a failure can still be retried; a longer one is
 * streamed. */
auto RelayPlain(entry_state& state,
                http_exchange& exchange,
                const proxy_plan& plan,
                backend_connection& connection,
                const http_head& head,
                const relay_progress& progress)
    -> asio::awaitable<outcome<void>> {
  std::string buffered;
  bool is_first = true;
  while (true) {
    const auto deadline = ReadDeadline(state, plan, progress, is_first);
    is_first = false;
    auto part = co_await connection.ReadSome(deadline);
    if (!part) {
      co_return part.error();
    }
    if (part->empty()) {
      break;
    }
    buffered += part.value();
    if (!exchange.HasStartedResponse() &&
        buffered.size() <= state.options.answer_buffer_bytes) {
      continue;
    }
    if (!exchange.HasStartedResponse()) {
      auto begun = co_await BeginResponse(state, exchange, plan, head);
      if (!begun) {
        co_return begun;
      }
    }
    auto written = co_await exchange.WriteChunk(buffered);
    if (!written) {
      co_return written;
    }
    buffered.clear();
  }
  if (exchange.HasStartedResponse()) {
    co_return co_await exchange.EndStream();
  }
  RecordFirstPart(state, plan, head.status);
  http_response response;
  response.status = head.status;
  response.headers = ResponseHeaders(plan, head);
  response.body = std::move(buffered);
  co_return co_await exchange.Respond(std::move(response));
}

}  // namespace

auto Relay(entry_state& state,
           http_exchange& exchange,
           const proxy_plan& plan,
           backend_connection& connection,
           http_head head,
           relay_progress& progress) -> asio::awaitable<outcome<void>> {
  if (IsEventStream(head.headers)) {
    // Only engines mark the end of a stream with [DONE]; a service may send
    // that as any other text.
    if (plan.route.kind == offer_kind::kModel) {
      co_return co_await RelayEvents<done_event_is_last>(
          state, exchange, plan, connection, head, progress);
    }
    co_return co_await RelayEvents<no_last_event>(state, exchange, plan,
                                                  connection, head, progress);
  }
  co_return co_await RelayPlain(state, exchange, plan, connection, head,
                                progress);
}

auto EndBrokenStream(http_exchange& exchange,
                     const relay_progress& progress,
                     const failure& error) -> asio::awaitable<void> {
  if (!progress.events_begun) {
    co_return;
  }
  // The last chunk is not sent, so that the HTTP framing also shows that the
  // stream is incomplete.
  const auto event = MakeFailureEvent(error);
  co_await exchange.WriteChunk(event);
}

}  // namespace dogwood
