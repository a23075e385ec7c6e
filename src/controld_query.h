/** Descriptions of the state of controld for operators and metrics. */
#ifndef SRC_CONTROLD_QUERY_H_
#define SRC_CONTROLD_QUERY_H_

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/controld_base.h"

namespace dogwood {

/** Describes a node: {"path","version","values","effective","children",
 * "next_offset"}. */
auto DescribeNode(const controld& c, std::string_view path)
    -> boost::json::object;

/** {"path","entries"}: audit entries of the node and its descendants. */
auto DescribeHistory(const controld& c, std::string_view path)
    -> boost::json::object;

/** {"entries","next_offset"}: audit entries at offsets >= `from`. */
auto DescribeAudit(const controld& c, log_offset from) -> boost::json::object;

/** Describes hosts, applied offsets, proof ages and backend servers. `listed`
 * is the platform's host list or the failure of its request. */
auto DescribeStatus(const controld& c,
                    const outcome<std::vector<listed_host>>& listed)
    -> boost::json::object;

/** All metrics in the Prometheus text format. */
auto DescribeMetrics(const controld& c) -> std::string;

}  // namespace dogwood

#endif  // SRC_CONTROLD_QUERY_H_
