#include "tests/fakes/engine_api.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "tests/fakes/fake_common.h"

namespace dogwood::fakes {
namespace json = boost::json;
namespace {

/** Returns the error for a request that cannot be parsed. */
auto BadRequest(const http_request& request, std::string why) -> failure {
  return {.code = error_code::kBadRequest,
          .message = std::move(why),
          .step = "read completion request",
          .peer = request.peer};
}

/** Returns a string, or the strings of a list joined by newlines. */
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

/** Returns the contents of chat messages, one per line. */
auto TextOfMessages(const json::value& messages) -> std::string {
  std::string text;
  for (const auto& message : messages.as_array()) {
    const auto& content = message.as_object().at("content");
    text += (text.empty() ? "" : "\n") + TextOf(content);
  }
  return text;
}

/** Returns the fields that every response has. */
auto ResponseFields(const completion_request& completion,
                    const sequence& s,
                    std::string_view object) -> json::object {
  const std::string prefix = completion.chat ? "chatcmpl-" : "cmpl-";
  return {{"id", prefix + s.request_id},
          {"object", object},
          {"model", completion.model}};
}

/** Formats one server-sent event. */
auto Event(const json::object& body) -> std::string {
  return "data: " + json::serialize(body) + "\n\n";
}

/** Returns the "object" field of the chunks of a streamed response. */
auto ChunkObject(const completion_request& completion) -> std::string_view {
  return completion.chat ? "chat.completion.chunk" : "text_completion";
}

}  // namespace

auto ReadCompletion(const http_request& request)
    -> outcome<completion_request> {
  const auto body = ParseBody(request);
  if (!body) {
    return body.error();
  }
  completion_request completion;
  completion.chat = request.Path() == "/v1/chat/completions";
  try {
    completion.model = TextOf(body->at("model"));
    completion.prompt = completion.chat ? TextOfMessages(body->at("messages"))
                                        : TextOf(body->at("prompt"));
    if (const auto* n = body->if_contains("max_tokens")) {
      completion.max_tokens = n->to_number<std::uint64_t>();
    }
    if (const auto* stream = body->if_contains("stream")) {
      completion.stream = stream->as_bool();
    }
  } catch (const std::exception& e) {
    return BadRequest(request, e.what());
  }
  if (completion.max_tokens == 0) {
    return BadRequest(request, "max_tokens must be at least 1");
  }
  return completion;
}

auto CompletionResponse(const completion_request& completion,
                        const sequence& s,
                        std::uint64_t from) -> json::object {
  std::string text;
  for (auto i = from; i < s.produced; ++i) {
    text += TokenText(s.text_key, i);
  }
  json::object choice{{"index", 0}, {"finish_reason", "length"}};
  if (completion.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  auto answer = ResponseFields(
      completion, s, completion.chat ? "chat.completion" : "text_completion");
  answer["choices"] = json::array{std::move(choice)};
  answer["usage"] = {{"prompt_tokens", s.prompt.size()},
                     {"completion_tokens", s.produced},
                     {"total_tokens", s.prompt.size() + s.produced}};
  return answer;
}

auto TokenEvent(const completion_request& completion,
                const sequence& s,
                std::uint64_t index) -> std::string {
  const auto text = TokenText(s.text_key, index);
  json::object choice{{"index", 0}, {"finish_reason", nullptr}};
  if (completion.chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  auto body = ResponseFields(completion, s, ChunkObject(completion));
  body["choices"] = json::array{std::move(choice)};
  return Event(body);
}

auto FinishEvent(const completion_request& completion, const sequence& s)
    -> std::string {
  json::object choice{{"index", 0}, {"finish_reason", "length"}};
  if (completion.chat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  auto body = ResponseFields(completion, s, ChunkObject(completion));
  body["choices"] = json::array{std::move(choice)};
  return Event(body);
}

}  // namespace dogwood::fakes
