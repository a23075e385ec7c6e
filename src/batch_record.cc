#include "src/batch_record.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "src/json_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Maximum bytes of the line of JSON of a part. */
constexpr std::size_t kMaxPartHeaderBytes = 1024;

/** Bytes of an append that frame one record. */
constexpr std::size_t kRecordFrameBytes = 4;

/** Builds a record of a line of JSON and raw bytes. */
auto JoinRecord(json::object line, std::string_view bytes) -> std::string {
  auto record = json::serialize(line);
  record += '\n';
  record += bytes;
  return record;
}

/** Splits a record into its line of JSON and its raw bytes. Returns
 * std::nullopt if the line is malformed. */
auto SplitRecord(std::string_view record)
    -> std::optional<std::pair<json::object, std::string_view>> {
  const auto end = record.find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  auto value = json::parse(record.substr(0, end), ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::pair(std::move(value.get_object()), record.substr(end + 1));
}

/** Returns the JSON of an item without its body, which is in the raw bytes. */
auto ItemLine(const batch_item& item) -> json::object {
  json::object headers;
  for (const auto& field : item.headers.fields) {
    headers[field.name] = field.value;
  }
  return {{"id", item.id.value},
          {"path", item.path},
          {"headers", std::move(headers)},
          {"tokens", item.tokens},
          {"bytes", item.body.size()}};
}

/** Parses the result of ItemLine() and consumes the item's body from
 * `bytes`. */
auto ParseItem(const json::object& line, std::string_view& bytes)
    -> std::optional<batch_item> {
  const auto size = NumberField(line, "bytes");
  if (size > bytes.size()) {
    return std::nullopt;
  }
  batch_item item{.id = batch_item_id(std::string(TextField(line, "id"))),
                  .path = std::string(TextField(line, "path")),
                  .headers = {},
                  .body = std::string(bytes.substr(0, size)),
                  .tokens = NumberField(line, "tokens")};
  bytes.remove_prefix(size);
  const auto* headers = line.if_contains("headers");
  if (headers != nullptr && headers->is_object()) {
    for (const auto& field : headers->get_object()) {
      item.headers.fields.push_back(
          {std::string(field.key()), std::string(field.value().as_string())});
    }
  }
  return item;
}

/** Returns the failure for a malformed submission. */
auto Unreadable() -> failure {
  return {.code = error_code::kBadRequest,
          .message = "submission record is damaged",
          .ran = ran_state::kNo,
          .step = "decode submission",
          .peer = ""};
}

}  // namespace

auto EncodeSubmission(const batch_submission& submission) -> std::string {
  json::array items;
  std::string bodies;
  for (const auto& item : submission.items) {
    items.push_back(ItemLine(item));
    bodies += item.body;
  }
  return JoinRecord({{"job", submission.id.value},
                     {"workspace", submission.workspace.value},
                     {"host", submission.host},
                     {"path", submission.path},
                     {"submitted", submission.submitted.value},
                     {"state_version", submission.accepted_under.value},
                     {"items", std::move(items)}},
                    bodies);
}

auto DecodeSubmission(std::string_view bytes) -> outcome<batch_submission> {
  const auto split = SplitRecord(bytes);
  if (!split) {
    return Unreadable();
  }
  const auto& [line, bodies] = *split;
  batch_submission submission{
      .id = batch_id(std::string(TextField(line, "job"))),
      .workspace = workspace_id(std::string(TextField(line, "workspace"))),
      .host = std::string(TextField(line, "host")),
      .path = std::string(TextField(line, "path")),
      .submitted = unix_ms(NumberField(line, "submitted")),
      .accepted_under = state_version(NumberField(line, "state_version")),
      .items = {}};
  auto rest = bodies;
  const auto* items = line.if_contains("items");
  if (items == nullptr || !items->is_array()) {
    return Unreadable();
  }
  for (const auto& entry : items->get_array()) {
    auto item =
        entry.is_object() ? ParseItem(entry.get_object(), rest) : std::nullopt;
    if (!item) {
      return Unreadable();
    }
    submission.items.push_back(std::move(*item));
  }
  return submission;
}

auto SubmissionRecords(const batch_submission& submission,
                       std::size_t record_bytes) -> std::vector<std::string> {
  return SplitSubmission(submission.id, EncodeSubmission(submission),
                         record_bytes);
}

auto SplitSubmission(const batch_id& job,
                     std::string_view encoded,
                     std::size_t record_bytes) -> std::vector<std::string> {
  const auto piece = record_bytes - kMaxPartHeaderBytes;
  const auto parts =
      std::max<std::size_t>(1, (encoded.size() + piece - 1) / piece);
  std::vector<std::string> records;
  for (std::size_t part = 0; part < parts; ++part) {
    records.push_back(JoinRecord({{"kind", "submit"},
                                  {"job", job.value},
                                  {"part", part},
                                  {"parts", parts}},
                                 encoded.substr(part * piece, piece)));
  }
  return records;
}

auto FitAppend(const std::vector<std::string>& records,
               const append_limits& limits) -> bool {
  std::size_t bytes = 0;
  for (const auto& record : records) {
    if (record.size() > limits.record_bytes) {
      return false;
    }
    bytes += record.size() + kRecordFrameBytes;
  }
  return bytes <= limits.append_bytes;
}

auto ResultRecord(const batch_id& job, const batch_result& result)
    -> std::string {
  return JoinRecord({{"kind", "result"},
                     {"job", job.value},
                     {"item", result.item.value},
                     {"done", result.end == batch_item_outcome::kDone}},
                    result.output);
}

auto ProgressRecord(const batch_id& job,
                    const batch_item_id& item,
                    const batch_progress& recorded,
                    const batch_progress& now) -> std::string {
  return JoinRecord(
      {{"kind", "progress"},
       {"job", job.value},
       {"item", item.value},
       {"after", recorded.last_event},
       {"last", now.last_event}},
      std::string_view(now.output).substr(recorded.output.size()));
}

auto FailureRecord(const batch_id& job,
                   const batch_item_id& item,
                   batch_run_id run) -> std::string {
  return JoinRecord({{"kind", "failure"},
                     {"job", job.value},
                     {"item", item.value},
                     {"run", run.value}},
                    "");
}

auto EndRecord(const batch_id& job) -> std::string {
  return JoinRecord({{"kind", "end"}, {"job", job.value}}, "");
}

auto SplitRecordToFit(std::string record, std::size_t record_bytes)
    -> std::vector<std::string> {
  if (record.size() <= record_bytes) {
    return {std::move(record)};
  }
  const auto size = record_bytes - kMaxPartHeaderBytes;
  const auto count = (record.size() + size - 1) / size;
  std::vector<std::string> sections;
  for (std::size_t number = 0; number < count; ++number) {
    sections.push_back(
        JoinRecord({{"kind", "section"}, {"number", number}, {"count", count}},
                   std::string_view(record).substr(number * size, size)));
  }
  return sections;
}

auto ParseBatchRecord(std::string_view record) -> std::optional<batch_record> {
  const auto split = SplitRecord(record);
  if (!split) {
    return std::nullopt;
  }
  const auto& [line, bytes] = *split;
  const auto kind = TextField(line, "kind");
  const batch_id job(std::string(TextField(line, "job")));
  if (kind == "submit") {
    return submission_part{job, NumberField(line, "part"),
                           NumberField(line, "parts"), std::string(bytes)};
  }
  if (kind == "result") {
    const auto* done = line.if_contains("done");
    const bool is_done = done != nullptr && done->is_bool() && done->get_bool();
    return result_record{
        job,
        {batch_item_id(std::string(TextField(line, "item"))),
         is_done ? batch_item_outcome::kDone : batch_item_outcome::kAbandoned,
         std::string(bytes)}};
  }
  if (kind == "progress") {
    return progress_record{job,
                           batch_item_id(std::string(TextField(line, "item"))),
                           NumberField(line, "after"),
                           {NumberField(line, "last"), std::string(bytes)}};
  }
  if (kind == "failure") {
    return failure_record{job,
                          batch_item_id(std::string(TextField(line, "item"))),
                          batch_run_id(NumberField(line, "run"))};
  }
  if (kind == "end") {
    return end_record{job};
  }
  if (kind == "section") {
    return record_section{NumberField(line, "number"),
                          NumberField(line, "count"), std::string(bytes)};
  }
  return std::nullopt;
}

}  // namespace dogwood
