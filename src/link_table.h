/** Table of links to other processes. */
#ifndef SRC_LINK_TABLE_H_
#define SRC_LINK_TABLE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "src/link_client.h"
#include "src/link_type.h"

namespace dogwood {

/** Holds one link for each address, created on first use. Thread-safe. */
class link_table {
 public:
  link_table(boost::asio::io_context& io, link_identity self)
      : io_(io), self_(std::move(self)) {}

  /** Returns the link to "ip:port"; nullptr if the address cannot be parsed. */
  auto Get(const std::string& address) -> std::shared_ptr<link_client>;
  /** Removes the links to addresses that are not in `used`. */
  auto Keep(const std::set<std::string>& used) -> void;
  auto Size() -> std::size_t;

 private:
  boost::asio::io_context& io_;
  link_identity self_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<link_client>> links_;
};

}  // namespace dogwood

#endif  // SRC_LINK_TABLE_H_
