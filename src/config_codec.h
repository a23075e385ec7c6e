/** JSON encoding of the records of the stream "config". Internal to library
 * config. */
#ifndef SRC_CONFIG_CODEC_H_
#define SRC_CONFIG_CODEC_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "src/config_type.h"

namespace dogwood {

/** Parses `text` as a JSON object; nothing if it is none. */
auto ReadObject(std::string_view text) -> std::optional<boost::json::object>;

/** Member `name` of `object` as a string; empty if absent or not a string. */
auto ReadText(const boost::json::object& object, std::string_view name)
    -> std::string;

/** `value` as a non-negative integer, nothing if it is none. */
auto ToNumber(const boost::json::value& value) -> std::optional<std::uint64_t>;

/** Member `name` of `object` as a non-negative integer; nothing if it is absent
 * or not one. */
auto ReadNumber(const boost::json::object& object, std::string_view name)
    -> std::optional<std::uint64_t>;

/** Decodes the writer of a record; nothing if it is absent or malformed. */
auto ReadWriter(const boost::json::object& record)
    -> std::optional<record_writer>;

/** Decodes the change in a record; nothing if a field has the wrong type. */
auto ReadChange(const boost::json::object& record)
    -> std::optional<config_change>;

/** Decodes a member; nothing if it has no host name or incarnation. */
auto ReadMember(const boost::json::object& object) -> std::optional<member>;

/** Decodes an audit entry; nothing if its offset is missing or its detail
 * malformed. */
auto ReadAudit(const boost::json::object& object) -> std::optional<audit_entry>;

/** A new record of `kind` that holds only its kind and writer. */
auto NewRecord(std::string_view kind, const record_writer& writer)
    -> boost::json::object;

/** Encodes a member for ReadMember(). */
auto WriteMember(const member& m) -> boost::json::object;

/** Encodes an audit entry for ReadAudit(). */
auto WriteAudit(const audit_entry& entry) -> boost::json::object;

/** Name of a replay outcome in audit entries, such as "applied". */
auto NameOf(apply_status verdict) -> std::string_view;

}  // namespace dogwood

#endif  // SRC_CONFIG_CODEC_H_
