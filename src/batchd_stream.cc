#include "src/batchd_stream.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "src/job.h"
#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEndOfStream = "[DONE]";
/** Fields under which an answer is one text; others may add more to it. */
constexpr std::array<std::string_view, 14> kPlainFields{"model",
                                                        "prompt",
                                                        "messages",
                                                        "max_tokens",
                                                        "max_completion_tokens",
                                                        "temperature",
                                                        "top_p",
                                                        "seed",
                                                        "stop",
                                                        "user",
                                                        "presence_penalty",
                                                        "frequency_penalty",
                                                        "stream",
                                                        "metadata"};

}  // namespace

auto StreamBody(std::string_view body) -> std::optional<std::string> {
  json::error_code ec;
  auto value = json::parse(body, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  auto& object = value.get_object();
  const bool is_plain =
      std::all_of(object.begin(), object.end(), [](const auto& field) {
        return std::find(kPlainFields.begin(), kPlainFields.end(),
                         field.key()) != kPlainFields.end();
      });
  if (!is_plain) {
    return std::nullopt;
  }
  object["stream"] = true;
  object["stream_options"] = json::object{{"include_usage", true}};
  return json::serialize(object);
}

auto stream_answer::Feed(std::string_view data) -> void {
  buffer_ += data;
  std::size_t begin = 0;
  while (true) {
    const auto end = buffer_.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    auto line = std::string_view(buffer_).substr(begin, end - begin);
    begin = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.starts_with(kDataPrefix)) {
      line.remove_prefix(kDataPrefix.size());
      line.remove_prefix(line.starts_with(' ') ? 1 : 0);
      HandleEvent(line);
    }
  }
  buffer_.erase(0, begin);
}

auto stream_answer::HandleEvent(std::string_view data) -> void {
  if (data == kEndOfStream) {
    is_whole_ = true;
    return;
  }
  json::error_code ec;
  const auto value = json::parse(data, ec);
  const auto* object = ec ? nullptr : value.if_object();
  const auto* choices =
      object != nullptr ? object->if_contains("choices") : nullptr;
  if (choices == nullptr || !choices->is_array()) {
    is_malformed_ = true;
    return;
  }
  id_ = TextField(*object, "id");
  model_ = TextField(*object, "model");
  const auto* usage = object->if_contains("usage");
  if (usage != nullptr && usage->is_object()) {
    usage_ = json::serialize(*usage);
  }
  if (choices->get_array().empty() ||
      !choices->get_array().front().is_object()) {
    return;
  }
  const auto& choice = choices->get_array().front().get_object();
  auto text = TextField(choice, "text");
  if (const auto* delta = choice.if_contains("delta")) {
    is_chat_ = true;
    text = delta->is_object() ? TextField(delta->get_object(), "content")
                              : std::string_view();
  }
  text_ += text;
  tokens_ += text.empty() ? 0 : 1;
  const auto reason = TextField(choice, "finish_reason");
  if (!reason.empty()) {
    finish_reason_ = reason;
  }
}

auto stream_answer::ToJson() const -> std::string {
  json::object choice{{"index", 0}};
  if (finish_reason_.empty()) {
    choice["finish_reason"] = nullptr;
  } else {
    choice["finish_reason"] = finish_reason_;
  }
  if (is_chat_) {
    choice["message"] = json::object{{"role", "assistant"}, {"content", text_}};
  } else {
    choice["text"] = text_;
  }
  json::object answer;
  answer["id"] = id_;
  answer["object"] = is_chat_ ? "chat.completion" : "text_completion";
  answer["model"] = model_;
  answer["choices"] = json::array{std::move(choice)};
  answer["usage"] =
      usage_.empty() ? json::value(json::object{{"completion_tokens", tokens_}})
                     : json::parse(usage_);
  return json::serialize(answer);
}

}  // namespace dogwood
