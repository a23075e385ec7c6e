/** The course of a request, job or item, read from log lines. */
#ifndef SRC_CTL_EXPLAIN_H_
#define SRC_CTL_EXPLAIN_H_

#include <boost/json/array.hpp>
#include <iosfwd>
#include <string>
#include <vector>

namespace dogwood {

/** A line of log as an object. Text before the first '{' is skipped, so that
 * output with prefixes can be read; lines that hold no entry are left out. */
auto ReadLogLines(std::istream& input, std::vector<boost::json::object>& lines)
    -> void;

/** Rows of the lines that name `id`, in order of time: "ms" since the first of
 * them, "host", "event", "decides" for the line that tells the outcome, and
 * "details". Before the first line of a host stand what that host last said of
 * its state, members, dispatcher and store, with negative "ms". Empty if no
 * line names `id`. */
auto ExplainLog(std::vector<boost::json::object> lines, const std::string& id)
    -> boost::json::array;

}  // namespace dogwood

#endif  // SRC_CTL_EXPLAIN_H_
