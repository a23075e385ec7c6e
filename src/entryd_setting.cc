#include "src/entryd_setting.h"

#include <array>
#include <fstream>
#include <iterator>
#include <utility>

#include "src/core.h"

namespace dogwood {
namespace {

using enum setting_kind;

constexpr double kMaxMs = 86400000;

constexpr std::array kTable{
    setting_row{"host", kText, "", 0, 0, "", "Name of this host."},
    setting_row{"data_centre", kText, "", 0, 0, "",
                "Data centre of this host."},
    setting_row{"region", kText, "", 0, 0, "", "Region of this host."},
    setting_row{"entry_address", kText, "", 0, 0, "",
                "Address of the HTTP interface for callers, ip:port."},
    setting_row{"entry_link", kText, "", 0, 0, "",
                "Link address for grants between entry daemons, ip:port."},
    setting_row{"controld_link", kText, "", 0, 0, "",
                "Link address of this host's dogwood_controld, ip:port."},
    setting_row{"batchd_link", kText, "", 0, 0, "",
                "Link address of this host's dogwood_batchd, ip:port."},
    setting_row{"platform_address", kText, "", 0, 0, "",
                "Address of the platform's HTTP interface, ip:port."},
    setting_row{"secret", kText, "", 0, 0, "\"\"",
                "Shared secret that authenticates the deployment's links."},
    setting_row{"secret_file", kText, "", 0, 0, "\"\"",
                "File with the shared secret; used if `secret` is empty."},
    setting_row{"log_levels", kText, "", 0, 0, "\"info\"",
                "Log level, and levels of single categories, such as "
                "info,route=debug."},
    setting_row{"worker_threads", kInteger, "threads", 1, 64, "2",
                "Number of worker threads."},
    setting_row{"header_bytes", kInteger, "bytes", 1024, 1048576, "16384",
                "Maximum size of the head of a caller's request."},
    setting_row{"body_bytes", kInteger, "bytes", 1024, 67108864, "33554432",
                "Maximum size of the body of a caller's request."},
    setting_row{"caller_idle_ms", kInteger, "ms", 100, kMaxMs, "60000",
                "Idle timeout of a caller's connection."},
    setting_row{"answer_buffer_bytes", kInteger, "bytes", 0, 67108864,
                "1048576",
                "Responses without streaming up to this size are sent only "
                "once they are complete, so that they can still be retried."},
    setting_row{"connect_ms", kInteger, "ms", 1, kMaxMs, "1000",
                "Timeout of a connect to a backend server."},
    setting_row{"first_byte_ms", kInteger, "ms", 1, kMaxMs, "15000",
                "Timeout of the first byte of a stream or of a service's "
                "response."},
    setting_row{"whole_answer_ms", kInteger, "ms", 1, kMaxMs, "120000",
                "Timeout of the first byte of a completion that is not "
                "streamed; it arrives when the completion is complete."},
    setting_row{"reused_first_byte_ms", kInteger, "ms", 1, kMaxMs, "3000",
                "Timeout of the first byte on a reused idle connection, which "
                "may be dead without notice."},
    setting_row{"between_bytes_ms", kInteger, "ms", 1, kMaxMs, "10000",
                "Timeout between two parts of a response."},
    setting_row{"total_ms", kInteger, "ms", 1, kMaxMs, "600000",
                "Timeout of a request with all its attempts."},
    setting_row{"recheck_ms", kInteger, "ms", 10, 1000, "500",
                "Interval at which a running request's key, freshness and "
                "caller are checked again."},
    setting_row{"pool_idle_ms", kInteger, "ms", 0, 60000, "2000",
                "Connections that have been idle for longer are not reused."},
    setting_row{"pool_per_server", kInteger, "connections", 0, 1024, "8",
                "Maximum number of idle connections for each backend server."},
    setting_row{"freshness_limit_ms", kInteger, "ms", 100, kMaxMs, "5000",
                "Maximum age of the configuration's proof for requests to be "
                "served."},
    setting_row{"pull_period_ms", kInteger, "ms", 10, 10000, "250",
                "Interval of pulls from dogwood_controld."},
    setting_row{"limit_mode", kText, "", 0, 0, "\"demand_shares\"",
                "How the hosts share a workspace's rate limit.",
                "demand_shares|central_bucket|static_split"},
    setting_row{"limit_wait_ms", kInteger, "ms", 0, 10000, "200",
                "Maximum wait of a request for tokens of its limit."},
    setting_row{"owner_wait_ms", kInteger, "ms", 0, 60000, "3000",
                "Maximum wait of a request while no host acts as owner of its "
                "limit. After a change of owners that takes about as long as "
                "the age of a proof."},
    setting_row{"ask_period_ms", kInteger, "ms", 5, 10000, "100",
                "Interval of grant requests."},
    setting_row{"grant_life_ms", kInteger, "ms", 10, 60000, "500",
                "Granted tokens expire this long after they were requested; "
                "must be the same on all hosts."},
    setting_row{"routing_policy", kText, "", 0, 0, "\"affinity\"",
                "Policy for the choice of the backend server.",
                "affinity|round_robin|least_connections"},
    setting_row{"affinity_slack", kInteger, "requests", 0, 10000, "4",
                "A prompt goes to the server of its prefix while that server's "
                "load exceeds the lowest load by at most this."},
    setting_row{"prefix_bytes", kInteger, "bytes", 0, 1048576, "256",
                "Length of the prompt's prefix that is hashed for affinity."},
    setting_row{"back_off_ms", kInteger, "ms", 0, 60000, "500",
                "A server that could not be connected to is avoided for this "
                "long."},
    setting_row{"report_life_ms", kInteger, "ms", 1, 60000, "5000",
                "Load reports older than this are ignored."},
    setting_row{"max_attempts", kInteger, "attempts", 1, 10, "3",
                "Maximum number of attempts for one request."},
    setting_row{"retry_share", kReal, "retries/request", 0, 1, "0.1",
                "Retries that each request adds to the retry budget."},
    setting_row{"retry_burst", kReal, "retries", 0, 10000, "10",
                "Maximum number of retries that the retry budget holds."},
    setting_row{"host_poll_ms", kInteger, "ms", 50, 60000, "1000",
                "Poll interval of the platform's host list."},
    setting_row{"load_poll_ms", kInteger, "ms", 50, 60000, "500",
                "Poll interval of the backend servers' load."},
    setting_row{"load_poll_servers", kInteger, "servers", 0, 10000, "32",
                "Maximum number of backend servers polled in one interval."},
    setting_row{"batch_call_ms", kInteger, "ms", 1, kMaxMs, "10000",
                "Timeout of a call to one dogwood_batchd."},
    setting_row{"address_keep_ms", kInteger, "ms", 0, kMaxMs, "10000",
                "How long callers may use a response of /v1/addresses."},
    setting_row{"address_count", kInteger, "addresses", 1, 100, "6",
                "Number of addresses in a response of /v1/addresses."},
    setting_row{"drain_limit_ms", kInteger, "ms", 0, kMaxMs, "600000",
                "Maximum wait for active requests in a planned stop, after "
                "address_keep_ms."},
};

/** Converts a permitted value of `limit_mode`. */
auto LimitModeOf(std::string_view name) -> limit_mode {
  if (name == "central_bucket") {
    return limit_mode::kCentralBucket;
  }
  return name == "static_split" ? limit_mode::kStaticSplit
                                : limit_mode::kDemandShares;
}

/** Returns an integer setting as a size. */
auto Size(const setting_values& values, std::string_view name) -> std::size_t {
  return static_cast<std::size_t>(values.Integer(name));
}

/** Sets the options of connections to callers and servers. */
auto ReadConnectionOptions(const setting_values& values, entry_options& o)
    -> void {
  o.limits.header_bytes = Size(values, "header_bytes");
  o.limits.body_bytes = Size(values, "body_bytes");
  o.limits.idle_ms = static_cast<unsigned>(values.Integer("caller_idle_ms"));
  o.answer_buffer_bytes = Size(values, "answer_buffer_bytes");
  o.connect_timeout = values.Milliseconds("connect_ms");
  o.first_byte_timeout = values.Milliseconds("first_byte_ms");
  o.complete_response_timeout = values.Milliseconds("whole_answer_ms");
  o.reused_first_byte_timeout = values.Milliseconds("reused_first_byte_ms");
  o.between_bytes_timeout = values.Milliseconds("between_bytes_ms");
  o.total_timeout = values.Milliseconds("total_ms");
  o.recheck_interval = values.Milliseconds("recheck_ms");
  o.pool_idle_ttl = values.Milliseconds("pool_idle_ms");
  o.pool_per_server = Size(values, "pool_per_server");
  o.address_ttl = values.Milliseconds("address_keep_ms");
  o.address_count = Size(values, "address_count");
  o.drain_timeout = values.Milliseconds("drain_limit_ms");
}

/** Sets the options of limits, routing, retries and polls. */
auto ReadPolicyOptions(const setting_values& values, entry_options& o) -> void {
  o.freshness_limit = values.Milliseconds("freshness_limit_ms");
  o.pull_interval = values.Milliseconds("pull_period_ms");
  o.mode = LimitModeOf(values.Text("limit_mode"));
  o.limit_wait_timeout = values.Milliseconds("limit_wait_ms");
  o.owner_wait_timeout = values.Milliseconds("owner_wait_ms");
  o.grant_request_interval = values.Milliseconds("ask_period_ms");
  o.grant_ttl = values.Milliseconds("grant_life_ms");
  o.policy = values.Text("routing_policy");
  o.affinity_slack =
      static_cast<std::uint32_t>(values.Integer("affinity_slack"));
  o.prefix_bytes = Size(values, "prefix_bytes");
  o.route.backoff = values.Milliseconds("back_off_ms");
  o.route.report_ttl = values.Milliseconds("report_life_ms");
  o.max_attempts = static_cast<unsigned>(values.Integer("max_attempts"));
  o.retry_share = values.Real("retry_share");
  o.retry_burst = values.Real("retry_burst");
  o.host_poll_interval = values.Milliseconds("host_poll_ms");
  o.load_poll_interval = values.Milliseconds("load_poll_ms");
  o.load_poll_servers = Size(values, "load_poll_servers");
  o.batch_call_timeout = values.Milliseconds("batch_call_ms");
}

/** Returns the secret from the settings or from the file that they name. */
auto ReadSecret(const setting_values& values) -> outcome<std::string> {
  if (!values.Text("secret").empty()) {
    return values.Text("secret");
  }
  std::ifstream file(values.Text("secret_file"), std::ios::binary);
  std::string secret(std::istreambuf_iterator<char>(file), {});
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (!secret.empty()) {
    return secret;
  }
  return failure{.code = error_code::kBadRequest,
                 .message =
                     "setting \"secret\" is empty and the file of "
                     "\"secret_file\" holds no secret",
                 .ran = ran_state::kNo,
                 .step = "read settings",
                 .peer = values.Text("secret_file")};
}

}  // namespace

auto EntrySettings() -> setting_table {
  return kTable;
}

auto ReadEntryOptions(const setting_values& values) -> outcome<entry_options> {
  entry_options o;
  o.host = host_id(values.Text("host"));
  o.place.data_centre = data_centre_id(values.Text("data_centre"));
  o.place.region = region_id(values.Text("region"));
  o.entry_address = values.Text("entry_address");
  o.batchd_link = values.Text("batchd_link");
  auto secret = ReadSecret(values);
  if (!secret) {
    return secret.error();
  }
  o.secret = std::move(secret.value());
  o.worker_threads = static_cast<unsigned>(values.Integer("worker_threads"));
  ReadConnectionOptions(values, o);
  ReadPolicyOptions(values, o);
  const std::array addresses{
      std::pair{"entry_address", &o.entry_endpoint},
      std::pair{"entry_link", &o.link_endpoint},
      std::pair{"controld_link", &o.control_endpoint},
      std::pair{"platform_address", &o.platform},
  };
  for (const auto& [name, endpoint] : addresses) {
    auto parsed = ParseEndpoint(values.Text(name));
    if (!parsed) {
      auto error = parsed.error();
      error.message = "setting \"" + std::string(name) + "\": " + error.message;
      return error;
    }
    *endpoint = parsed.value();
  }
  if (auto batchd = ParseEndpoint(o.batchd_link); !batchd) {
    return batchd.error();
  }
  return o;
}

}  // namespace dogwood
