#include "src/entryd_relay.h"

#include <algorithm>
#include <utility>

#include "src/entryd_base.h"
#include "src/proxy.h"

namespace dogwood {
namespace asio = boost::asio;

namespace {

/** Deadline of the next read of an answer's body. An engine sends the head
 * before the request leaves its queue, so the first part may take longer. */
auto ReadDeadline(const entry_state& state,
                  const proxy_plan& plan,
                  const relay_progress& progress,
                  bool is_first) -> time_point {
  const auto silence = clock::now() + state.options.between_bytes;
  const auto limit =
      is_first ? std::max<time_point>(silence, progress.first_part_deadline)
               : silence;
  return std::min<time_point>(plan.deadline, limit);
}

/** Fields of the answer for the caller. The caller is told that errors which
 * the server itself answers with came after the request had been sent. */
auto AnswerHeaders(const proxy_plan& plan, const http_head& head)
    -> http_headers {
  auto headers = CallerHeaders(head.headers, plan.request_id);
  if (head.status >= 400) {
    headers.Set("Dogwood-Ran", NameOf(ran_state::kMaybe));
  }
  return headers;
}

/** Notes the first part of an answer. */
auto NoteFirst(entry_state& state, const proxy_plan& plan, unsigned status)
    -> void {
  state.metrics.CountAnswer(status);
  state.metrics.RecordFirstToken(plan.who.workspace_class,
                                 clock::now() - plan.begin);
}

/** Begins a chunked answer to the caller. */
auto BeginAnswer(entry_state& state,
                 http_exchange& exchange,
                 const proxy_plan& plan,
                 const http_head& head) -> asio::awaitable<outcome<void>> {
  NoteFirst(state, plan, head.status);
  http_head passed;
  passed.status = head.status;
  passed.headers = AnswerHeaders(plan, head);
  co_return co_await exchange.BeginStream(std::move(passed));
}

/** A failure of the server's answer. */
auto BrokenAnswer(std::string message, const backend_connection& connection)
    -> failure {
  return {.code = error_code::kBadGateway,
          .message = std::move(message),
          .ran = ran_state::kMaybe,
          .step = "read events",
          .peer = connection.address()};
}

/** Passes on the events that `data` completes. */
auto PassEvents(entry_state& state,
                http_exchange& exchange,
                const proxy_plan& plan,
                const http_head& head,
                sse_parser& parser,
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
    auto begun = co_await BeginAnswer(state, exchange, plan, head);
    if (!begun) {
      co_return begun;
    }
  }
  co_return co_await exchange.WriteChunk(joined);
}

/** Ends a stream of events whose framing has ended. */
auto FinishEvents(entry_state& state,
                  http_exchange& exchange,
                  const proxy_plan& plan,
                  const http_head& head,
                  const sse_parser& parser,
                  const backend_connection& connection,
                  relay_progress& progress) -> asio::awaitable<outcome<void>> {
  // Plain services have no agreed last event; their framing must do.
  const bool needs_done = plan.route.kind == offer_kind::kModel;
  if (parser.HasPartialEvent()) {
    co_return BrokenAnswer("the stream ended within an event", connection);
  }
  if (needs_done && !parser.IsDone()) {
    co_return BrokenAnswer("the stream ended without [DONE]", connection);
  }
  if (!progress.events_begun) {
    progress.events_begun = true;
    auto begun = co_await BeginAnswer(state, exchange, plan, head);
    if (!begun) {
      co_return begun;
    }
  }
  if (parser.IsDone()) {
    auto written = co_await exchange.WriteChunk(parser.done_event());
    if (!written) {
      co_return written;
    }
  }
  co_return co_await exchange.EndStream();
}

/** Passes a stream of events on. */
auto RelayEvents(entry_state& state,
                 http_exchange& exchange,
                 const proxy_plan& plan,
                 backend_connection& connection,
                 const http_head& head,
                 relay_progress& progress) -> asio::awaitable<outcome<void>> {
  sse_parser parser;
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

/** Passes a plain answer on. */
auto RelayPlain(entry_state& state,
                http_exchange& exchange,
                const proxy_plan& plan,
                backend_connection& connection,
                const http_head& head,
                const relay_progress& progress)
    -> asio::awaitable<outcome<void>> {
  std::string held;
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
    held += part.value();
    if (!exchange.HasStartedResponse() &&
        held.size() <= state.options.answer_buffer_bytes) {
      continue;
    }
    if (!exchange.HasStartedResponse()) {
      auto begun = co_await BeginAnswer(state, exchange, plan, head);
      if (!begun) {
        co_return begun;
      }
    }
    auto written = co_await exchange.WriteChunk(held);
    if (!written) {
      co_return written;
    }
    held.clear();
  }
  if (exchange.HasStartedResponse()) {
    co_return co_await exchange.EndStream();
  }
  NoteFirst(state, plan, head.status);
  http_response response;
  response.status = head.status;
  response.headers = AnswerHeaders(plan, head);
  response.body = std::move(held);
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
    co_return co_await RelayEvents(state, exchange, plan, connection, head,
                                   progress);
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
  // The last chunk is left out, so that the framing does not end either.
  const auto event = FailureEvent(error);
  co_await exchange.WriteChunk(event);
}

}  // namespace dogwood
