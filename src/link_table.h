/** Links to other processes by address. */
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

/** One link for each address, made when first needed. Thread-safe. */
class link_table {
 public:
  link_table(boost::asio::io_context& io, link_identity self)
      : io_(io), self_(std::move(self)) {}

  /** The link to "ip:port"; nullptr if that is no address. */
  auto Get(const std::string& address) -> std::shared_ptr<link_client>;
  /** Ends the links to addresses that are not in `used`. */
  auto Keep(const std::set<std::string>& used) -> void;
  /** Number of links. */
  auto Size() -> std::size_t;

 private:
  boost::asio::io_context& io_;
  link_identity self_;
  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<link_client>> links_;
};

}  // namespace dogwood

#endif  // SRC_LINK_TABLE_H_
