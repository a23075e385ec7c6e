/** Monitoring of backend servers: host list, load and online requests. */
#ifndef SRC_BATCHD_WATCH_H_
#define SRC_BATCHD_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/batchd_base.h"

namespace dogwood {

/** Polls the platform's host list. Never returns. */
auto PollHosts(batchd& d) -> boost::asio::awaitable<void>;

/** Polls the load of the servers that this host admits batch work on. Never
 * returns. */
auto PollLoads(batchd& d) -> boost::asio::awaitable<void>;

/** Handles an entry host's report of online requests and preempts the runs
 * that exceed the policy. */
auto HandleOnlineLoad(batchd& d, const wire::online_loadT& load) -> void;

/** Removes the reports of an entry host whose link has closed. */
auto RemoveOnlineLoad(batchd& d, const std::string& host) -> void;

}  // namespace dogwood

#endif  // SRC_BATCHD_WATCH_H_
