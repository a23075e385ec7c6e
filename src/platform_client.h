/** Client of the platform's log and host list. */
#ifndef SRC_PLATFORM_CLIENT_H_
#define SRC_PLATFORM_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "src/error_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Answer of a read. */
struct log_page {
  log_offset first;                  ///< Oldest retained offset.
  log_offset from;                   ///< Offset of the first record here.
  log_offset next;                   ///< End of the stream, see `is_full`.
  std::vector<std::string> records;  ///< Records from `from` on.
  bool is_full = false;  ///< As many as asked for; `next` may not be the end.
  /** Whether the records reach the end of the stream. */
  auto ReachesStreamEnd() const -> bool {
    return !is_full && from.value + records.size() >= next.value;
  }
};

/** Answer of an append. */
struct append_range {
  log_offset first;  ///< Offset of the first record appended.
  log_offset next;   ///< Offset after the last one.
};

/** One row of the platform's host list. */
struct listed_host {
  std::string id;                     ///< Name.
  bool is_backend_server = false;     ///< Or one of our hosts.
  std::string address;                ///< "ip:port".
  data_centre_id data_centre;         ///< Where it is.
  region_id region;                   ///< Where it is.
  bool leaving = false;               ///< Gets no new work.
  std::vector<std::string> models;    ///< Models that an engine serves.
  std::vector<std::string> services;  ///< Plain services.
  unsigned slots = 1;                 ///< Concurrent requests it runs.
  bool checks_fencing = false;        ///< Refuses old fencing numbers.
};

/** Client of one platform address. Each call uses a connection of its own, so
 * that a connection gone silent harms one call only. Thread-safe. */
class platform_client {
 public:
  explicit platform_client(boost::asio::ip::tcp::endpoint endpoint)
      : endpoint_(std::move(endpoint)) {}

  /** Appends in order. After kDeadlineExceeded or a failure with ran=maybe it
   * may have taken effect: append the same records again. */
  auto Append(std::string stream,
              std::vector<std::string> records,
              time_point deadline) const
      -> boost::asio::awaitable<outcome<append_range>>;
  /** Reads up to `limit` records; waits up to `wait` for one. Offsets below
   * the oldest retained: kNotFound; read from `first` with limit 0 to learn
   * it. */
  auto Read(std::string stream,
            log_offset from,
            unsigned limit,
            std::chrono::milliseconds wait,
            time_point deadline) const
      -> boost::asio::awaitable<outcome<log_page>>;
  /** Oldest retained offset of a stream and its end, as a page without
   * records. */
  auto ReadBounds(std::string stream, time_point deadline) const
      -> boost::asio::awaitable<outcome<log_page>>;
  /** The host list. */
  auto Hosts(time_point deadline) const
      -> boost::asio::awaitable<outcome<std::vector<listed_host>>>;

 private:
  boost::asio::ip::tcp::endpoint endpoint_;
};

}  // namespace dogwood

#endif  // SRC_PLATFORM_CLIENT_H_
