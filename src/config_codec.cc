#include "src/config_codec.h"

#include <array>
#include <boost/json.hpp>

#include "src/config_base.h"
#include "src/config_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Row of the table of verdict names. */
struct verdict_row {
  apply_status verdict;   ///< Verdict.
  std::string_view name;  ///< Name in JSON.
};

constexpr std::array kVerdictTable{
    verdict_row{apply_status::kApplied, "applied"},
    verdict_row{apply_status::kDuplicate, "duplicate"},
    verdict_row{apply_status::kConflict, "conflict"},
    verdict_row{apply_status::kStale, "stale"},
    verdict_row{apply_status::kInvalid, "invalid"},
};

/** Object `name` of `object`; empty if absent, nothing if it is another type.
 */
auto ReadInner(const json::object& object, std::string_view name)
    -> std::optional<json::object> {
  const auto* value = object.if_contains(name);
  if (value == nullptr) {
    return json::object();
  }
  return value->is_object() ? std::optional(value->get_object()) : std::nullopt;
}

/** Strings of a list; nothing if `value` is no list of strings. */
auto ReadTexts(const json::value& value)
    -> std::optional<std::vector<std::string>> {
  if (!value.is_array()) {
    return std::nullopt;
  }
  std::vector<std::string> texts;
  for (const auto& element : value.get_array()) {
    if (!element.is_string()) {
      return std::nullopt;
    }
    texts.emplace_back(element.get_string());
  }
  return texts;
}

}  // namespace

auto ReadObject(std::string_view text) -> std::optional<json::object> {
  json::error_code ec;
  auto value = json::parse(text, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

auto ReadText(const json::object& object, std::string_view name)
    -> std::string {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

auto ToNumber(const json::value& value) -> std::optional<std::uint64_t> {
  if (value.is_uint64()) {
    return value.get_uint64();
  }
  if (value.is_int64() && value.get_int64() >= 0) {
    return static_cast<std::uint64_t>(value.get_int64());
  }
  return std::nullopt;
}

auto ReadNumber(const json::object& object, std::string_view name)
    -> std::optional<std::uint64_t> {
  const auto* value = object.if_contains(name);
  return value == nullptr ? std::nullopt : ToNumber(*value);
}

auto ReadWriter(const json::object& record) -> std::optional<record_writer> {
  const auto* inner = record.if_contains("writer");
  if (inner == nullptr || !inner->is_object()) {
    return std::nullopt;
  }
  const auto& object = inner->get_object();
  const auto start = ReadNumber(object, "start");
  const auto seq = ReadNumber(object, "seq");
  auto host = ReadText(object, "host");
  if (host.empty() || !start || seq.value_or(0) == 0) {
    return std::nullopt;
  }
  return record_writer{host_id(std::move(host)), incarnation(*start), *seq};
}

auto ReadChange(const json::object& record) -> std::optional<config_change> {
  config_change change;
  change.path = ReadText(record, "path");
  change.operator_name = ReadText(record, "operator");
  const auto version = ReadNumber(record, "expected_version");
  auto set = ReadInner(record, "set");
  if (!version || !set) {
    return std::nullopt;
  }
  change.expected_version = *version;
  change.set = std::move(*set);
  if (const auto* unset = record.if_contains("unset")) {
    auto names = ReadTexts(*unset);
    if (!names) {
      return std::nullopt;
    }
    change.unset = std::move(*names);
  }
  if (const auto* remove = record.if_contains("delete")) {
    if (!remove->is_bool()) {
      return std::nullopt;
    }
    change.remove = remove->get_bool();
  }
  return change;
}

auto ReadMember(const json::object& object) -> std::optional<member> {
  member m;
  m.host = host_id(ReadText(object, "host"));
  const auto start = ReadNumber(object, "start");
  if (m.host.value.empty() || !start) {
    return std::nullopt;
  }
  m.start = incarnation(*start);
  m.state = ReadText(object, "state") == "draining" ? member_state::kDraining
                                                    : member_state::kLive;
  m.data_centre = data_centre_id(ReadText(object, "data_centre"));
  m.region = region_id(ReadText(object, "region"));
  m.entry_address = ReadText(object, "entry_address");
  m.operator_address = ReadText(object, "operator_address");
  m.control_link = ReadText(object, "control_link");
  m.entry_link = ReadText(object, "entry_link");
  m.batch_link = ReadText(object, "batch_link");
  m.joined = log_offset(ReadNumber(object, "joined").value_or(0));
  return m;
}

auto WriteMember(const member& m) -> json::object {
  json::object object;
  object["host"] = m.host.value;
  object["start"] = m.start.value;
  object["state"] = m.state == member_state::kDraining ? "draining" : "live";
  object["data_centre"] = m.data_centre.value;
  object["region"] = m.region.value;
  object["entry_address"] = m.entry_address;
  object["operator_address"] = m.operator_address;
  object["control_link"] = m.control_link;
  object["entry_link"] = m.entry_link;
  object["batch_link"] = m.batch_link;
  object["joined"] = m.joined.value;
  return object;
}

auto NameOf(apply_status verdict) -> std::string_view {
  for (const auto& row : kVerdictTable) {
    if (row.verdict == verdict) {
      return row.name;
    }
  }
  return "invalid";
}

auto ReadAudit(const json::object& object) -> std::optional<audit_entry> {
  const auto offset = ReadNumber(object, "offset");
  auto detail = ReadInner(object, "detail");
  if (!offset || !detail) {
    return std::nullopt;
  }
  audit_entry entry;
  entry.offset = log_offset(*offset);
  entry.kind = ReadText(object, "kind");
  entry.operator_name = ReadText(object, "operator");
  entry.path = ReadText(object, "path");
  entry.detail = std::move(*detail);
  const auto verdict = ReadText(object, "verdict");
  entry.verdict = apply_status::kInvalid;
  for (const auto& row : kVerdictTable) {
    entry.verdict = row.name == verdict ? row.verdict : entry.verdict;
  }
  return entry;
}

auto WriteAudit(const audit_entry& entry) -> json::object {
  json::object object;
  object["offset"] = entry.offset.value;
  object["kind"] = entry.kind;
  object["operator"] = entry.operator_name;
  object["path"] = entry.path;
  object["verdict"] = NameOf(entry.verdict);
  object["detail"] = entry.detail;
  return object;
}

auto NewRecord(std::string_view kind, const record_writer& writer)
    -> json::object {
  json::object inner;
  inner["host"] = writer.host.value;
  inner["start"] = writer.start.value;
  inner["seq"] = writer.seq;
  json::object record;
  record["kind"] = kind;
  record["writer"] = std::move(inner);
  return record;
}

auto ChangeRecord(const record_writer& writer, const config_change& change)
    -> std::string {
  auto record = NewRecord("change", writer);
  record["operator"] = change.operator_name;
  record["path"] = change.path;
  record["expected_version"] = change.expected_version;
  if (!change.set.empty()) {
    record["set"] = change.set;
  }
  if (!change.unset.empty()) {
    record["unset"] = json::array(change.unset.begin(), change.unset.end());
  }
  if (change.remove) {
    record["delete"] = true;
  }
  return json::serialize(record);
}

auto IsCatchUpSnapshot(std::string_view record) -> bool {
  if (record.find("\"snapshot\"") == std::string_view::npos) {
    return false;
  }
  const auto object = ReadObject(record);
  if (!object || ReadText(*object, "kind") != "snapshot") {
    return false;
  }
  const auto* writer = object->if_contains("writer");
  return writer != nullptr && writer->is_object() &&
         ReadNumber(writer->get_object(), "seq") == 0;
}

auto JoinRecord(const record_writer& writer, const member& joining)
    -> std::string {
  auto record = NewRecord("member_join", writer);
  auto object = WriteMember(joining);
  // Both are the fold's to decide.
  object.erase("state");
  object.erase("joined");
  record["member"] = std::move(object);
  return json::serialize(record);
}

auto MemberRecord(const record_writer& writer,
                  std::string_view kind,
                  const host_id& host,
                  incarnation start) -> std::string {
  auto record = NewRecord(kind, writer);
  record["host"] = host.value;
  record["start"] = start.value;
  return json::serialize(record);
}

}  // namespace dogwood
