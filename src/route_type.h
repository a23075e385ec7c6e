/** Types of the choice of backend servers. */
#ifndef SRC_ROUTE_TYPE_H_
#define SRC_ROUTE_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/unit_type.h"

namespace dogwood {

/** One backend server as the platform lists it. */
struct backend_server {
  server_id server;
  std::string address;  ///< "ip:port".
  data_centre_id data_centre;
  region_id region;
  bool leaving = false;               ///< Gets no new requests.
  bool draining = false;              ///< The same, by configuration.
  std::vector<std::string> models;    ///< Models that it serves.
  std::vector<std::string> services;  ///< Plain services that it runs.
  std::uint32_t slots = 1;            ///< Maximum concurrent requests.
};

/** Load reported by a server. */
struct load_report {
  std::uint32_t running = 0;  ///< Requests in its running batch.
  std::uint32_t waiting = 0;  ///< Requests in its queue.
};

/** Kind of resource that a request needs from a server. */
enum class offer_kind {
  kModel,    ///< A model of an inference engine.
  kService,  ///< A plain service.
};

/** Input for the choice of a server. */
struct route_request {
  offer_kind kind = offer_kind::kModel;  ///< Kind of `name`.
  std::string name;                      ///< Model or service.
  std::uint64_t prefix_hash = 0;         ///< PrefixHash() of the prompt.
  std::vector<server_id> tried;          ///< Chosen again only as last resort.
  std::vector<server_id> excluded;       ///< Never chosen.
};

/** A chosen server. */
struct route_choice {
  server_id server;
  std::string address;  ///< "ip:port".
  bool remote = false;  ///< Whether it is in another region.
};

/** Location of the choosing host. */
struct route_place {
  data_centre_id data_centre;
  region_id region;
};

/** A server that may be chosen, as seen by a policy. */
struct route_candidate {
  std::uint64_t rank = 0;       ///< Rendezvous hash with the request's prefix.
  std::uint32_t in_flight = 0;  ///< Own requests.
  std::uint32_t load = 0;       ///< Own requests and reported other ones.
};

/** Backoff and lifetime of load reports. */
struct route_limits {
  /** Backoff of a server after a failed connection. */
  duration backoff = std::chrono::milliseconds(500);
  /** Age from which on a load report is not used. */
  duration report_ttl = std::chrono::seconds(5);
};

/** Returns a hash of the first `bytes` bytes of a prompt. */
auto PrefixHash(std::string_view prompt, std::size_t bytes) -> std::uint64_t;

}  // namespace dogwood

#endif  // SRC_ROUTE_TYPE_H_
