#include "src/job_record.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <set>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Maximum number of invalid lines listed in an error; further ones are only
 * counted. */
constexpr std::size_t kMaxReportedLines = 20;
constexpr std::string_view kIdPrefix = "batch-";
constexpr std::string_view kServicePrefix = "/services/";

constexpr std::array<std::string_view, 10> kKindNames{
    "claim", "submit", "commit", "cancel", "started",
    "done",  "keep",   "base",   "drop",   "unknown"};

/** Maximum bytes of one item in the request body of an append, which the
 * platform limits to 1 MiB. */
constexpr std::size_t kMaxAppendBytes = 700UL << 10;

/** Returns whether `text` is valid UTF-8. JSON requires it, and the log rejects
 * an append that is not valid. */
auto IsText(std::string_view text) -> bool {
  std::string quoted = "\"";
  for (const char c : text) {
    // Characters that a JSON string must escape are valid UTF-8.
    quoted +=
        static_cast<unsigned char>(c) < ' ' || c == '"' || c == '\\' ? '.' : c;
  }
  json::error_code ec;
  json::parse(quoted + "\"", ec);
  return !ec;
}

/** Parses a decimal number that takes up all of `text`. */
auto ParseNumber(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

/** Parses the fields of a line into `item`. Returns an error message, or an
 * empty string if all are valid. */
auto ParseFields(const json::object& line, item_request& item) -> std::string {
  item.custom_id = TextField(line, "custom_id");
  item.method = TextField(line, "method");
  item.url = TextField(line, "url");
  if (item.custom_id.empty()) {
    return "\"custom_id\" must be a string that is not empty";
  }
  if (item.method.empty() ||
      !std::all_of(item.method.begin(), item.method.end(),
                   [](char c) { return c >= 'A' && c <= 'Z'; })) {
    return "\"method\" must be an HTTP method in capitals";
  }
  const bool printable =
      std::all_of(item.url.begin(), item.url.end(),
                  [](char c) { return c > ' ' && c < '\x7f'; });
  if (!printable) {
    return "\"url\" must be percent-encoded ASCII";
  }
  const auto* body = line.if_contains("body");
  item.body = body == nullptr || body->is_null() ? "" : json::serialize(*body);
  if (item.url.starts_with(kServicePrefix)) {
    auto route = std::string_view(item.url).substr(kServicePrefix.size());
    route = route.substr(0, route.find_first_of("/?"));
    item.target = "route/" + std::string(route);
    return route.empty() ? "\"url\" names no route" : "";
  }
  if (item.url != "/v1/completions" && item.url != "/v1/chat/completions") {
    return "\"url\" must be /v1/completions, /v1/chat/completions or "
           "/services/{route}/...";
  }
  if (item.method != "POST") {
    return "\"method\" must be POST for this url";
  }
  if (body == nullptr || !body->is_object()) {
    return "\"body\" must be an object";
  }
  const auto model = TextField(body->get_object(), "model");
  item.target = "model/" + std::string(model);
  return model.empty() ? "\"body\" must name a \"model\"" : "";
}

/** Parses one line into `item`. Returns an error message, or an empty string if
 * the line is valid. */
auto ParseLine(std::string_view line, item_request& item) -> std::string {
  json::error_code ec;
  const auto value = json::parse(line, ec);
  if (ec) {
    return "not valid JSON: " + ec.message();
  }
  if (!value.is_object()) {
    return "not a JSON object";
  }
  auto error = ParseFields(value.get_object(), item);
  if (error.empty() && !FitsRecord(json::serialize(ItemFields(item)))) {
    error = "too long once it is quoted for the log";
  }
  return error;
}

/** Fails with the error of an invalid submission. */
auto Reject(error_code code, std::string message) -> boost::leaf::error_id {
  return Fail({.code = code,
               .message = std::move(message),
               .ran = ran_state::kNo,
               .step = "read batch",
               .peer = ""});
}

}  // namespace

auto FormatJobId(partition_id partition, log_offset job) -> job_id {
  return job_id(std::string(kIdPrefix) + std::to_string(partition.value) + "-" +
                std::to_string(job.value));
}

auto ParseJobId(std::string_view id) -> std::optional<job_address> {
  if (!id.starts_with(kIdPrefix)) {
    return std::nullopt;
  }
  id.remove_prefix(kIdPrefix.size());
  const auto dash = id.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto partition = ParseNumber(id.substr(0, dash));
  const auto job = ParseNumber(id.substr(dash + 1));
  if (!partition || !job || *partition > UINT32_MAX) {
    return std::nullopt;
  }
  return job_address{partition_id(static_cast<std::uint32_t>(*partition)),
                     log_offset(*job)};
}

auto PartitionOf(const workspace_id& workspace,
                 std::string_view key,
                 std::uint32_t partitions) -> partition_id {
  const auto hash = StableHash(workspace.value + "\n" + std::string(key));
  return partition_id(static_cast<std::uint32_t>(hash % partitions));
}

auto ParseItems(std::string_view body, const job_limits& limits)
    -> result<std::vector<item_request>> {
  std::vector<item_request> items;
  std::set<std::string, std::less<>> ids;
  std::string reported;
  std::size_t bad = 0;
  std::size_t number = 0;
  while (!body.empty()) {
    const auto end = body.find('\n');
    auto line = body.substr(0, end);
    body = end == std::string_view::npos ? "" : body.substr(end + 1);
    ++number;
    if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
      continue;
    }
    if (items.size() >= limits.items) {
      return Reject(
          error_code::kTooLarge,
          "more than " + std::to_string(limits.items) + " items in one job");
    }
    item_request item;
    auto error =
        line.size() > limits.line_bytes
            ? "longer than " + std::to_string(limits.line_bytes) + " bytes"
            : ParseLine(line, item);
    if (error.empty() && !ids.insert(item.custom_id).second) {
      error =
          "custom_id \"" + item.custom_id + "\" was used on an earlier line";
    }
    if (!error.empty() && ++bad <= kMaxReportedLines) {
      reported += (reported.empty() ? "line " : "; line ") +
                  std::to_string(number) + ": " + error;
    }
    items.push_back(std::move(item));
  }
  if (bad > kMaxReportedLines) {
    reported +=
        "; and " + std::to_string(bad - kMaxReportedLines) + " more bad lines";
  }
  if (bad > 0) {
    return Reject(error_code::kBadRequest, reported);
  }
  if (items.empty()) {
    return Reject(error_code::kBadRequest, "the batch has no items");
  }
  return items;
}

auto NameOf(job_record_kind kind) -> std::string_view {
  return kKindNames[static_cast<std::size_t>(kind)];
}

auto JobRecordKindOf(std::string_view name) -> job_record_kind {
  const auto found = std::find(kKindNames.begin(), kKindNames.end(), name);
  return found == kKindNames.end()
             ? job_record_kind::kUnknown
             : static_cast<job_record_kind>(found - kKindNames.begin());
}

auto FormatRecord(job_record_kind kind,
                  const record_writer& writer,
                  json::object fields) -> std::string {
  fields["kind"] = NameOf(kind);
  fields["writer"] = json::object{{"host", writer.host.value},
                                  {"start", writer.start.value},
                                  {"seq", writer.seq}};
  return json::serialize(fields);
}

auto ItemFields(const item_request& item) -> json::object {
  return json::object{{"custom_id", item.custom_id},
                      {"method", item.method},
                      {"url", item.url},
                      {"target", item.target},
                      {"body", item.body}};
}

auto ItemOf(const json::object& fields) -> item_request {
  item_request item;
  item.custom_id = TextField(fields, "custom_id");
  item.method = TextField(fields, "method");
  item.url = TextField(fields, "url");
  item.target = TextField(fields, "target");
  item.body = TextField(fields, "body");
  return item;
}

auto DoneFields(epoch current,
                unix_ms now,
                unix_ms keep_until,
                std::span<const item_result> results) -> json::object {
  json::array items;
  for (const auto& r : results) {
    items.push_back(json::object{{"job", r.item.job.value},
                                 {"index", r.item.index},
                                 {"failed", r.failed},
                                 {"result", r.line}});
  }
  return json::object{{"epoch", current.value},
                      {"at", now.value},
                      {"keep_until", keep_until.value},
                      {"items", std::move(items)}};
}

auto StartedFields(epoch current, std::span<const item_ref> items)
    -> json::object {
  json::array refs;
  for (const auto& ref : items) {
    refs.push_back(json::object{{"job", ref.job.value}, {"index", ref.index}});
  }
  return json::object{{"epoch", current.value}, {"items", std::move(refs)}};
}

auto AnswerLine(std::string_view custom_id,
                unsigned status,
                std::string_view body) -> std::string {
  json::object response{{"status_code", status}};
  json::error_code ec;
  auto value = json::parse(body, ec);
  if (!ec) {
    response["body"] = std::move(value);
  } else if (IsText(body)) {
    response["body"] = body;
  } else {
    response["body_hex"] = ToHex(body);
  }
  json::object line;
  line["custom_id"] = custom_id;
  line["response"] = std::move(response);
  line["error"] = nullptr;
  return json::serialize(line);
}

auto ErrorLine(std::string_view custom_id,
               std::string_view code,
               std::string_view message) -> std::string {
  json::object line;
  line["custom_id"] = custom_id;
  line["response"] = nullptr;
  line["error"] = json::object{{"code", code}, {"message", message}};
  return json::serialize(line);
}

auto FitsRecord(std::string_view text) -> bool {
  // The text is escaped in the record, and the record again in the append: a
  // quote or backslash becomes four bytes, a control character up to seven.
  std::size_t size = text.size();
  for (const unsigned char c : text) {
    if (c == '"' || c == '\\') {
      size += 3;
    } else if (c < ' ') {
      size += 6;
    }
  }
  return size <= kMaxAppendBytes;
}

}  // namespace dogwood
