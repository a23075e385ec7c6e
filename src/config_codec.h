/** Records of the stream "config" as JSON. Internal to library config. */
#ifndef SRC_CONFIG_CODEC_H_
#define SRC_CONFIG_CODEC_H_

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "src/config_type.h"

namespace dogwood {

/** `text` as a JSON object, nothing if it is none. */
auto ReadObject(std::string_view text) -> std::optional<boost::json::object>;

/** String `name` of `object`, empty if absent or no string. */
auto ReadText(const boost::json::object& object, std::string_view name)
    -> std::string;

/** `value` as a whole number, nothing if it is none or negative. */
auto ToNumber(const boost::json::value& value) -> std::optional<std::uint64_t>;

/** Whole number `name` of `object`, nothing if absent or out of range. */
auto ReadNumber(const boost::json::object& object, std::string_view name)
    -> std::optional<std::uint64_t>;

/** The "writer" of a record, nothing if it has no valid one. */
auto ReadWriter(const boost::json::object& record)
    -> std::optional<record_writer>;

/** The change in a record, nothing if a field has the wrong type. */
auto ReadChange(const boost::json::object& record)
    -> std::optional<config_change>;

/** A member, nothing if it has no name or start. */
auto ReadMember(const boost::json::object& object) -> std::optional<member>;

/** An audit entry, nothing if a field is missing. */
auto ReadAudit(const boost::json::object& object) -> std::optional<audit_entry>;

/** A record of `kind` with its writer and nothing else. */
auto NewRecord(std::string_view kind, const record_writer& writer)
    -> boost::json::object;

/** What ReadMember() reads. */
auto WriteMember(const member& m) -> boost::json::object;

/** What ReadAudit() reads. */
auto WriteAudit(const audit_entry& entry) -> boost::json::object;

/** Name of a verdict in audit entries, such as "applied". */
auto NameOf(apply_status verdict) -> std::string_view;

}  // namespace dogwood

#endif  // SRC_CONFIG_CODEC_H_
