/** What controld tells operators and metrics readers about its state. */
#ifndef SRC_CONTROLD_QUERY_H_
#define SRC_CONTROLD_QUERY_H_

#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "src/controld_base.h"

namespace dogwood {

/** {"path","version","values","effective","children","next_offset"}. */
auto DescribeNode(const controld& c, std::string_view path)
    -> boost::json::object;

/** {"path","entries"}: audit entries of the node and those below it. */
auto DescribeHistory(const controld& c, std::string_view path)
    -> boost::json::object;

/** {"entries","next_offset"}: audit entries from an offset on. */
auto DescribeAudit(const controld& c, log_offset from) -> boost::json::object;

/** Hosts, applied offsets, proof ages, servers. `listed` is the platform's
 * host list or why it could not be had. */
auto DescribeStatus(const controld& c,
                    const outcome<std::vector<listed_host>>& listed)
    -> boost::json::object;

/** All metrics in the Prometheus text format. */
auto DescribeMetrics(const controld& c) -> std::string;

}  // namespace dogwood

#endif  // SRC_CONTROLD_QUERY_H_
