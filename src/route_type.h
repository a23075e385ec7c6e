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
  server_id server;                   ///< Name.
  std::string address;                ///< "ip:port".
  data_centre_id data_centre;         ///< Where it is.
  region_id region;                   ///< Where it is.
  bool leaving = false;               ///< Gets no new work.
  bool draining = false;              ///< Gets no new work, by configuration.
  std::vector<std::string> models;    ///< Models that it serves.
  std::vector<std::string> services;  ///< Plain services that it runs.
  std::uint32_t slots = 1;            ///< Concurrent requests that it runs.
};

/** A server's own report of its load. */
struct load_report {
  std::uint32_t running = 0;  ///< Requests in its batch.
  std::uint32_t waiting = 0;  ///< Requests in its queue.
};

/** What a request needs a server to offer. */
enum class offer_kind {
  kModel,    ///< A model of an engine.
  kService,  ///< A plain service.
};

/** Question which server should run a request. */
struct route_request {
  offer_kind kind = offer_kind::kModel;  ///< What `name` names.
  std::string name;                      ///< Model or service.
  std::uint64_t prefix_hash = 0;         ///< PrefixHash() of the prompt.
  std::vector<server_id> tried;          ///< Chosen again only if need be.
  std::vector<server_id> excluded;       ///< Not to be chosen.
};

/** A chosen server. */
struct route_choice {
  server_id server;     ///< Name.
  std::string address;  ///< "ip:port".
  bool remote = false;  ///< In another region.
};

/** Where the choosing host is. */
struct route_place {
  data_centre_id data_centre;  ///< Data centre of the host.
  region_id region;            ///< Region of the host.
};

/** A server that may be chosen, as policies see it. */
struct route_candidate {
  std::uint64_t rank = 0;       ///< Rendezvous hash with the request's prefix.
  std::uint32_t in_flight = 0;  ///< Own requests on it.
  std::uint32_t load = 0;       ///< Own requests and those of others.
};

/** Lengths of time and bounds of the table. */
struct route_limits {
  duration backoff = std::chrono::milliseconds(500);  ///< After a failure.
  duration report_ttl = std::chrono::seconds(5);      ///< Age limit of reports.
};

/** Hash of the first `bytes` bytes of a prompt. */
auto PrefixHash(std::string_view prompt, std::size_t bytes) -> std::uint64_t;

}  // namespace dogwood

#endif  // SRC_ROUTE_TYPE_H_
