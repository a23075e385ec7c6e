/** Messages of the engine interface: requests read, answers written. */
#ifndef TESTS_FAKES_ENGINE_API_H_
#define TESTS_FAKES_ENGINE_API_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "src/http.h"
#include "tests/fakes/engine_model.h"

namespace dogwood::fakes {

/** A completion request as read. */
struct completion_request {
  std::string model;              ///< Model asked for.
  std::string prompt;             ///< Prompt, or contents of all messages.
  std::uint64_t max_tokens = 16;  ///< Length of the answer.
  bool stream = false;            ///< Answer as server-sent events.
  bool chat = false;              ///< Sent to /v1/chat/completions.
};

/** Reads a request. Fails with kBadRequest. */
auto ReadCompletion(const http_request& request) -> outcome<completion_request>;

/** The whole answer: tokens from `from` on. */
auto WholeAnswer(const completion_request& asked,
                 const sequence& s,
                 std::uint64_t from) -> boost::json::object;

/** One server-sent event with token `index`. */
auto TokenEvent(const completion_request& asked,
                const sequence& s,
                std::uint64_t index) -> std::string;

/** Last event before "[DONE]". */
auto FinishEvent(const completion_request& asked, const sequence& s)
    -> std::string;

/** Event that ends every whole stream. */
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace dogwood::fakes

#endif  // TESTS_FAKES_ENGINE_API_H_
