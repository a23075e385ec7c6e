/** Timeline of a request, job or item, reconstructed from log lines. */
#ifndef SRC_CTL_EXPLAIN_H_
#define SRC_CTL_EXPLAIN_H_

#include <boost/json/array.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace dogwood {

/** Appends the log lines of `input` as objects to `lines`. Text before the
 * first
 * `{"` of a line is skipped, so that output with prefixes can be read. Lines
 * without a JSON object that has an integer "unix_ms" are skipped. */
auto ReadLogLines(std::istream& input, std::vector<boost::json::object>& lines)
    -> void;

/** Returns a row for each line that contains `id`, in order of time, with the
 * fields "ms" (since the first such line), "host", "event", "decides" ("=>" for
 * an event that reports the outcome) and "details". Each of these rows is
 * preceded by the latest lines that its host logged, since its previous row,
 * about its state, members, dispatcher and store; "ms" is negative for lines
 * logged before the first row. Returns no rows if no line contains `id`. */
auto ExplainLog(std::vector<boost::json::object> lines, const std::string& id)
    -> boost::json::array;

}  // namespace dogwood

#endif  // SRC_CTL_EXPLAIN_H_
