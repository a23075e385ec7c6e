/** What this host learns about backend servers. */
#ifndef SRC_BATCHD_WATCH_H_
#define SRC_BATCHD_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <string>

#include "src/batchd_base.h"

namespace dogwood {

/** Polls the platform's host list, for ever. */
auto PollHosts(batchd& d) -> boost::asio::awaitable<void>;

/** Polls the load of the servers that this host admits batch on, for ever. */
auto PollLoads(batchd& d) -> boost::asio::awaitable<void>;

/** Takes an entry host's counts and preempts what they leave no room for. */
auto TakeOnlineLoad(batchd& d, const wire::online_loadT& load) -> void;

/** Drops the counts of an entry host whose link has closed. */
auto DropOnlineLoad(batchd& d, const std::string& host) -> void;

}  // namespace dogwood

#endif  // SRC_BATCHD_WATCH_H_
