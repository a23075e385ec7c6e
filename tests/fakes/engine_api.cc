#include "tests/fakes/engine_api.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "tests/fakes/fake_common.h"

namespace dogwood::fakes {
namespace json = boost::json;
namespace {

/** A refusal of a request. */
auto BadRequest(const http_request& request, std::string why) -> failure {
  return {.code = error_code::kBadRequest,
          .message = std::move(why),
          .step = "read completion request",
          .peer = request.peer};
}

/** Text of a string or of a list of strings. */
auto TextOf(const json::value& value) -> std::string {
  if (value.is_string()) {
    return std::string(value.get_string());
  }
  std::string text;
  if (value.is_array()) {
    for (const auto& part : value.get_array()) {
      text += (text.empty() ? "" : "\n") + TextOf(part);
    }
  }
  return text;
}

/** Contents of chat messages, one a line. */
auto TextOfMessages(const json::value& messages) -> std::string {
  std::string text;
  for (const auto& message : messages.as_array()) {
    const auto& content = message.as_object().at("content");
    text += (text.empty() ? "" : "\n") + TextOf(content);
  }
  return text;
}

/** Fields that every answer has. */
auto Envelope(const completion_request& asked,
              const sequence& s,
              std::string_view object) -> json::object {
  const std::string prefix = asked.chat ? "chatcmpl-" : "cmpl-";
  return {{"id", prefix + s.request_id},
          {"object", object},
          {"model", asked.model}};
}

/** One server-sent event. */
auto Event(const json::object& body) -> std::string {
  return "data: " + json::serialize(body) + "\n\n";
}

/** Name of the object type of a streamed answer. */
auto ChunkObject(const completion_request& asked) -> std::string_view {
  return asked.chat ? "chat.completion.chunk" : "text_completion";
}

}  // namespace

auto ReadCompletion(const http_request& request)
    -> outcome<completion_request> {
  const auto body = ParseBody(request);
  if (!body) {
    return body.error();
  }
  completion_request asked;
  asked.chat = request.Path() == "/v1/chat/completions";
  try {
    asked.model = TextOf(body->at("model"));
    asked.prompt = asked.chat ? TextOfMessages(body->at("messages"))
                              : TextOf(body->at("prompt"));
    if (const auto* n = body->if_contains("max_tokens")) {
      asked.max_tokens = n->to_number<std::uint64_t>();
    }
    if (const auto* stream = body->if_contains("stream")) {
      asked.stream = stream->as_bool();
    }
  } catch (const std::exception& e) {
    return BadRequest(request, e.what());
  }
  if (asked.max_tokens == 0) {
    return BadRequest(request, "max_tokens must be at least 1");
  }
  return asked;
}

auto WholeAnswer(const completion_request& asked,
                 const sequence& s,
                 std::uint64_t from) -> json::object {
  std::string text;
  for (auto i = from; i < s.produced; ++i) {
    text += TokenText(s.text_key, i);
  }
  json::object choice{{"index", 0}, {"finish_reason", "length"}};
  if (asked.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  auto answer =
      Envelope(asked, s, asked.chat ? "chat.completion" : "text_completion");
  answer["choices"] = json::array{std::move(choice)};
  answer["usage"] = {{"prompt_tokens", s.prompt.size()},
                     {"completion_tokens", s.produced},
                     {"total_tokens", s.prompt.size() + s.produced}};
  return answer;
}

auto TokenEvent(const completion_request& asked,
                const sequence& s,
                std::uint64_t index) -> std::string {
  const auto text = TokenText(s.text_key, index);
  json::object choice{{"index", 0}, {"finish_reason", nullptr}};
  if (asked.chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  auto body = Envelope(asked, s, ChunkObject(asked));
  body["choices"] = json::array{std::move(choice)};
  return Event(body);
}

auto FinishEvent(const completion_request& asked, const sequence& s)
    -> std::string {
  json::object choice{{"index", 0}, {"finish_reason", "length"}};
  if (asked.chat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  auto body = Envelope(asked, s, ChunkObject(asked));
  body["choices"] = json::array{std::move(choice)};
  return Event(body);
}

}  // namespace dogwood::fakes
