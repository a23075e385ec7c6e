/** Requests and responses of the engine API: parsing and formatting. */
#ifndef TESTS_FAKES_ENGINE_API_H_
#define TESTS_FAKES_ENGINE_API_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "src/http.h"
#include "tests/fakes/engine_model.h"

namespace dogwood::fakes {

/** A parsed completion request. */
struct completion_request {
  std::string model;
  std::string prompt;             ///< Prompt, or the contents of all messages.
  std::uint64_t max_tokens = 16;  ///< Length of the response.
  bool stream = false;            ///< Respond with server-sent events.
  bool chat = false;              ///< Sent to /v1/chat/completions.
};

/** Parses a request. Fails with kBadRequest if it is malformed. */
auto ReadCompletion(const http_request& request) -> outcome<completion_request>;

/** Returns the complete response with the tokens from index `from` on. */
auto CompletionResponse(const completion_request& completion,
                        const sequence& s,
                        std::uint64_t from) -> boost::json::object;

/** Returns the server-sent event with token `index`. */
auto TokenEvent(const completion_request& completion,
                const sequence& s,
                std::uint64_t index) -> std::string;

/** Returns the event with the finish reason, sent before "[DONE]". */
auto FinishEvent(const completion_request& completion, const sequence& s)
    -> std::string;

/** Event that ends every complete stream. */
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_ENGINE_API_H_
