/** Client of the platform's log streams and host list. */
#ifndef SRC_PLATFORM_CLIENT_H_
#define SRC_PLATFORM_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "src/error_type.h"
#include "src/unit_type.h"

namespace dogwood {

/** Result of a read. */
struct log_page {
  log_offset first;  ///< Oldest retained offset of the stream.
  log_offset from;   ///< Offset of the first record of this page.
  log_offset next;   ///< End of the stream, unless `is_full`.
  std::vector<std::string> records;
  /** The page has as many records as requested; the stream may continue after
   * `next`. */
  bool is_full = false;
  /** Whether the records reach the end of the stream. */
  auto ReachesStreamEnd() const -> bool {
    return !is_full && from.value + records.size() >= next.value;
  }
};

/** Result of an append. */
struct append_range {
  log_offset first;  ///< Offset of the first appended record.
  log_offset next;   ///< Offset after the last appended record.
};

/** One row of the platform's host list. */
struct listed_host {
  std::string id;
  bool is_backend_server = false;  ///< False for a host of this deployment.
  std::string address;             ///< "ip:port".
  data_centre_id data_centre;
  region_id region;
  bool leaving = false;               ///< Must get no new requests.
  std::vector<std::string> models;    ///< Models that an engine serves.
  std::vector<std::string> services;  ///< Services other than models.
  unsigned slots = 1;                 ///< Maximum of concurrent requests.
  bool checks_fencing = false;        ///< Rejects stale fencing numbers.
};

/** Client of one platform address. Each call opens its own connection, so that
 * a dead connection affects only one call. Thread-safe. */
class platform_client {
 public:
  explicit platform_client(boost::asio::ip::tcp::endpoint endpoint)
      : endpoint_(std::move(endpoint)) {}

  /** Appends records in order. After kDeadlineExceeded or a failure with
   * ran=maybe the append may have taken effect; the caller should append the
   * same records again. */
  auto Append(std::string stream,
              std::vector<std::string> records,
              time_point deadline) const
      -> boost::asio::awaitable<outcome<append_range>>;
  /** Reads up to `limit` records; if there are none, waits up to `wait` for
   * one. Fails with kNotFound if `from` is below the oldest retained offset,
   * which can be read with ReadBounds(). All failures have ran=no. */
  auto Read(std::string stream,
            log_offset from,
            unsigned limit,
            std::chrono::milliseconds wait,
            time_point deadline) const
      -> boost::asio::awaitable<outcome<log_page>>;
  /** Reads the oldest retained offset and the end of a stream, as a page
   * without records. */
  auto ReadBounds(std::string stream, time_point deadline) const
      -> boost::asio::awaitable<outcome<log_page>>;
  /** Reads the host list. Fails if any row is invalid. */
  auto Hosts(time_point deadline) const
      -> boost::asio::awaitable<outcome<std::vector<listed_host>>>;

 private:
  boost::asio::ip::tcp::endpoint endpoint_;
};

}  // namespace dogwood

#endif  // SRC_PLATFORM_CLIENT_H_
