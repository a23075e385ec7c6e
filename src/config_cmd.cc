#include <boost/json.hpp>
#include <utility>

#include "src/config_base.h"
#include "src/config_codec.h"
#include "src/config_func.h"
#include "src/error_func.h"

namespace dogwood {
namespace json = boost::json;
namespace {

/** Most descendants that the audit entry of a deletion names. */
constexpr std::size_t kMaxRemovedNamed = 50;

/** Object `name` of a snapshot; an empty one if absent. */
auto InnerObject(const json::object& record, std::string_view name)
    -> const json::object& {
  static const json::object kEmpty;
  const auto* value = record.if_contains(name);
  return value != nullptr && value->is_object() ? value->get_object() : kEmpty;
}

/** Array `name` of a snapshot; an empty one if absent. */
auto InnerArray(const json::object& record, std::string_view name)
    -> const json::array& {
  static const json::array kEmpty;
  const auto* value = record.if_contains(name);
  return value != nullptr && value->is_array() ? value->get_array() : kEmpty;
}

/** `value` as a list of `size` elements, nullptr if it is none. */
auto RowOf(const json::value& value, std::size_t size) -> const json::array* {
  return value.is_array() && value.get_array().size() == size
             ? &value.get_array()
             : nullptr;
}

}  // namespace

/** Applies one record or snapshot to a tree. */
class config_projection {
 public:
  explicit config_projection(config_tree& tree) : tree_(tree) {}

  /** Applies the record at the tree's next offset and moves past it. */
  auto Fold(std::string_view text) -> apply_status {
    const auto verdict = FoldRecord(text);
    ++tree_.next_offset_.value;
    ForgetWriters();
    return verdict;
  }

  /** Fills an empty tree from a snapshot; false if a part is malformed. */
  auto Load(const json::object& record) -> bool {
    const auto as_of = ReadNumber(record, "as_of");
    const auto members_version = ReadNumber(record, "members_version");
    if (ReadText(record, "kind") != "snapshot" || !as_of || !members_version) {
      return false;
    }
    tree_.next_offset_ = log_offset(*as_of);
    tree_.members_version_ = *members_version;
    return LoadNodes(InnerObject(record, "nodes")) &&
           LoadMembers(InnerArray(record, "members")) &&
           LoadWriters(InnerObject(record, "writers")) &&
           LoadAudit(InnerArray(record, "audit"));
  }

 private:
  auto FoldRecord(std::string_view text) -> apply_status {
    const auto record = ReadObject(text);
    if (!record) {
      return apply_status::kInvalid;
    }
    const auto writer = ReadWriter(*record);
    if (!writer) {
      return apply_status::kInvalid;
    }
    const auto seen = NoteWriter(*writer);
    if (seen != apply_status::kApplied) {
      return seen;
    }
    const auto kind = ReadText(*record, "kind");
    if (kind == "change") {
      return FoldChange(*record);
    }
    if (kind == "member_join") {
      return FoldJoin(*record);
    }
    if (kind == "member_leave" || kind == "member_lost" ||
        kind == "member_drain") {
      return FoldMember(kind, *writer, *record);
    }
    // A snapshot restates what the records before it say.
    return kind == "snapshot" ? apply_status::kApplied : apply_status::kInvalid;
  }

  /** kApplied if the record is new, otherwise why it is dropped. */
  auto NoteWriter(const record_writer& writer) -> apply_status {
    auto& mark = tree_.last_seq_[writer.host];
    if (writer.start.value < mark.start.value) {
      return apply_status::kStale;
    }
    if (writer.start == mark.start && writer.seq <= mark.seq) {
      return apply_status::kDuplicate;
    }
    mark = {writer.start, writer.seq, tree_.next_offset_};
    return apply_status::kApplied;
  }

  /** Forgets hosts that have left and whose last record is long ago, so that
   * snapshots do not grow with every host there ever was. */
  auto ForgetWriters() -> void {
    auto& marks = tree_.last_seq_;
    const auto now = tree_.next_offset_.value;
    if (now % kForgetPeriod != 0) {
      return;
    }
    for (auto it = marks.begin(); it != marks.end();) {
      const bool is_old = it->second.last.value + kWriterMemory < now;
      const bool is_member = tree_.members_.contains(it->first);
      it = is_old && !is_member ? marks.erase(it) : std::next(it);
    }
  }

  auto FoldChange(const json::object& record) -> apply_status {
    const auto change = ReadChange(record);
    if (!change) {
      return apply_status::kInvalid;
    }
    audit_entry entry{.offset = tree_.next_offset_,
                      .kind = change->remove ? "delete" : "change",
                      .operator_name = change->operator_name,
                      .path = change->path,
                      .detail = {}};
    if (const auto refusal = tree_.Refusal(*change)) {
      entry.verdict = refusal->code == error_code::kConflict
                          ? apply_status::kConflict
                          : apply_status::kInvalid;
      entry.detail["why"] = refusal->message;
    } else if (change->remove) {
      RemoveNode(change->path, entry.detail);
    } else {
      SetValues(*change, entry.detail);
    }
    return Audit(std::move(entry));
  }

  /** Sets and unsets values; makes the node if it is absent. */
  auto SetValues(const config_change& change, json::object& detail) -> void {
    UnindexKeys(change.path);
    auto& node = tree_.nodes_[change.path];
    node.version = tree_.next_offset_.value + 1;
    json::object old_values;
    json::object new_values;
    const auto note_old = [&](std::string_view name) {
      const auto it = node.values.find(name);
      if (it != node.values.end()) {
        old_values[name] = it->second;
      }
      return it;
    };
    for (const auto& name : change.unset) {
      const auto it = note_old(name);
      if (it != node.values.end()) {
        node.values.erase(it);
      }
    }
    for (const auto& item : change.set) {
      note_old(item.key());
      auto value = CanonicalValue(item.value());
      new_values[item.key()] = value;
      node.values[std::string(item.key())] = std::move(value);
    }
    detail["old"] = std::move(old_values);
    detail["new"] = std::move(new_values);
    IndexKeys(change.path);
  }

  /** Removes a node and its descendants. */
  auto RemoveNode(const std::string& path, json::object& detail) -> void {
    json::object old_values;
    for (const auto& [name, value] : tree_.nodes_.find(path)->second.values) {
      old_values[name] = value;
    }
    UnindexKeys(path);
    const auto below = tree_.DescendantPaths(path);
    json::array named;
    for (const auto& descendant : below) {
      if (named.size() < kMaxRemovedNamed) {
        named.emplace_back(descendant);
      }
      tree_.nodes_.erase(descendant);
    }
    tree_.nodes_.erase(path);
    detail["old"] = std::move(old_values);
    detail["removed_below"] = below.size();
    detail["removed"] = std::move(named);
  }

  /** Calls `f(path, node)` for the node at `path` and its descendants. */
  template <typename F>
  auto ForSubtree(std::string_view path, F f) const -> void {
    const auto& nodes = tree_.nodes_;
    if (const auto self = nodes.find(path); self != nodes.end()) {
      f(self->first, self->second);
    }
    const auto prefix = PrefixBelow(path);
    for (auto it = nodes.lower_bound(prefix);
         it != nodes.end() && it->first.starts_with(prefix); ++it) {
      if (it->first != path) {
        f(it->first, it->second);
      }
    }
  }

  /** Removes the keys at and below `path` from the index by hash. */
  auto UnindexKeys(std::string_view path) -> void {
    ForSubtree(path, [this](const auto& at, const config_node& node) {
      const auto hash = node.values.find("hash");
      if (hash != node.values.end() && hash->second.is_string() &&
          KeyPathOf(at)) {
        tree_.keys_.erase(ToLower(hash->second.get_string()));
      }
    });
  }

  /** Adds the keys at and below `path` to the index by hash. */
  auto IndexKeys(std::string_view path) -> void {
    ForSubtree(path, [this](const auto& at, const config_node& node) {
      const auto hash = node.values.find("hash");
      const auto names = KeyPathOf(at);
      if (hash != node.values.end() && hash->second.is_string() && names) {
        tree_.keys_[ToLower(hash->second.get_string())] = {
            names->workspace, names->key,
            tree_.LookupBoolean(at, "withdrawn", false)};
      }
    });
  }

  auto FoldJoin(const json::object& record) -> apply_status {
    const auto* object = record.if_contains("member");
    auto joining = object != nullptr && object->is_object()
                       ? ReadMember(object->get_object())
                       : std::nullopt;
    if (!joining) {
      return apply_status::kInvalid;
    }
    joining->joined = tree_.next_offset_;
    joining->state = member_state::kLive;
    auto entry = MemberEntry("member_join", *joining);
    const auto* known = tree_.FindMember(joining->host);
    const auto mark = tree_.last_seq_.find(joining->host);
    const bool is_older = mark != tree_.last_seq_.end() &&
                          joining->start.value < mark->second.start.value;
    if (is_older ||
        (known != nullptr && joining->start.value <= known->start.value)) {
      entry.verdict = apply_status::kStale;
      return Audit(std::move(entry));
    }
    tree_.members_[joining->host] = std::move(*joining);
    tree_.members_version_ = tree_.next_offset_.value + 1;
    return Audit(std::move(entry));
  }

  auto FoldMember(const std::string& kind,
                  const record_writer& writer,
                  const json::object& record) -> apply_status {
    const auto about = ReadMember(record);
    if (!about) {
      return apply_status::kInvalid;
    }
    auto entry = MemberEntry(kind, *about);
    entry.detail["by"] = writer.host.value;
    const auto it = tree_.members_.find(about->host);
    if (it == tree_.members_.end() || it->second.start != about->start) {
      entry.verdict = apply_status::kStale;
      return Audit(std::move(entry));
    }
    if (kind == "member_drain") {
      it->second.state = member_state::kDraining;
    } else {
      tree_.members_.erase(it);
    }
    tree_.members_version_ = tree_.next_offset_.value + 1;
    return Audit(std::move(entry));
  }

  /** Audit entry of a member record. */
  auto MemberEntry(std::string kind, const member& about) const -> audit_entry {
    json::object detail;
    detail["start"] = about.start.value;
    return {.offset = tree_.next_offset_,
            .kind = std::move(kind),
            .operator_name = "",
            .path = about.host.value,
            .detail = std::move(detail)};
  }

  /** Stores an entry within the bounds; returns its verdict. */
  auto Audit(audit_entry entry) -> apply_status {
    const auto verdict = entry.verdict;
    tree_.audit_bytes_ += SizeOf(entry);
    tree_.audit_.push_back(std::move(entry));
    while (tree_.audit_.size() > kAuditLimit ||
           tree_.audit_bytes_ > kAuditBytes) {
      tree_.audit_bytes_ -= SizeOf(tree_.audit_.front());
      tree_.audit_.pop_front();
    }
    return verdict;
  }

  /** Bytes of an entry as JSON. */
  static auto SizeOf(const audit_entry& entry) -> std::size_t {
    return json::serialize(WriteAudit(entry)).size();
  }

  auto LoadNodes(const json::object& nodes) -> bool {
    for (const auto& item : nodes) {
      const auto* row = RowOf(item.value(), 2);
      const auto version = row ? ToNumber((*row)[0]) : std::nullopt;
      if (!version || !(*row)[1].is_object()) {
        return false;
      }
      auto& node = tree_.nodes_[std::string(item.key())];
      node.version = *version;
      for (const auto& value : (*row)[1].get_object()) {
        node.values[std::string(value.key())] = value.value();
      }
    }
    IndexKeys("/");
    return true;
  }

  auto LoadMembers(const json::array& members) -> bool {
    for (const auto& element : members) {
      auto m =
          element.is_object() ? ReadMember(element.get_object()) : std::nullopt;
      if (!m) {
        return false;
      }
      tree_.members_[m->host] = std::move(*m);
    }
    return true;
  }

  auto LoadWriters(const json::object& writers) -> bool {
    for (const auto& item : writers) {
      const auto* row = RowOf(item.value(), 3);
      const auto start = row ? ToNumber((*row)[0]) : std::nullopt;
      const auto seq = row ? ToNumber((*row)[1]) : std::nullopt;
      const auto last = row ? ToNumber((*row)[2]) : std::nullopt;
      if (!start || !seq || !last) {
        return false;
      }
      tree_.last_seq_[host_id(std::string(item.key()))] = {
          incarnation(*start), *seq, log_offset(*last)};
    }
    return true;
  }

  auto LoadAudit(const json::array& entries) -> bool {
    for (const auto& element : entries) {
      auto entry =
          element.is_object() ? ReadAudit(element.get_object()) : std::nullopt;
      if (!entry) {
        return false;
      }
      Audit(std::move(*entry));
    }
    return true;
  }

  /** Records between two searches for writers to forget. */
  static constexpr std::uint64_t kForgetPeriod = 1000;

  config_tree& tree_;
};

auto config_tree::Apply(log_offset offset, std::string_view record)
    -> apply_status {
  if (offset != next_offset_) {
    return offset.value < next_offset_.value ? apply_status::kDuplicate
                                             : apply_status::kInvalid;
  }
  return config_projection(*this).Fold(record);
}

auto config_tree::LoadSnapshot(std::string_view record) -> result<void> {
  config_tree loaded;
  const auto object = ReadObject(record);
  if (!object || !config_projection(loaded).Load(*object)) {
    return Fail({.code = error_code::kBadRequest,
                 .message = "the record is no snapshot of the configuration",
                 .step = "load snapshot",
                 .peer = ""});
  }
  *this = std::move(loaded);
  return {};
}

}  // namespace dogwood
