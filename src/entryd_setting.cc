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
                "Address of the callers' HTTP, ip:port."},
    setting_row{"entry_link", kText, "", 0, 0, "",
                "Address for grants between entry daemons, ip:port."},
    setting_row{"controld_link", kText, "", 0, 0, "",
                "Link address of this host's dogwood_controld, ip:port."},
    setting_row{"batchd_link", kText, "", 0, 0, "",
                "Link address of this host's dogwood_batchd, ip:port."},
    setting_row{"platform_address", kText, "", 0, 0, "",
                "Address of the platform's HTTP, ip:port."},
    setting_row{"secret", kText, "", 0, 0, "\"\"",
                "Shared secret of the deployment's links."},
    setting_row{"secret_file", kText, "", 0, 0, "\"\"",
                "File with the shared secret; used if `secret` is empty."},
    setting_row{"log_levels", kText, "", 0, 0, "\"info\"",
                "Level, and levels of categories, such as info,route=debug."},
    setting_row{"worker_threads", kInteger, "threads", 1, 64, "2",
                "Threads that serve connections."},
    setting_row{"header_bytes", kInteger, "bytes", 1024, 1048576, "16384",
                "Longest head of a caller's request."},
    setting_row{"body_bytes", kInteger, "bytes", 1024, 67108864, "33554432",
                "Longest body of a caller's request."},
    setting_row{"caller_idle_ms", kInteger, "ms", 100, kMaxMs, "60000",
                "Longest silence of a caller's connection."},
    setting_row{"answer_buffer_bytes", kInteger, "bytes", 0, 67108864,
                "1048576",
                "Plain answers up to this length are passed on only once they "
                "are whole, so that they can still be retried."},
    setting_row{"connect_ms", kInteger, "ms", 1, kMaxMs, "1000",
                "Longest time to connect to a backend server."},
    setting_row{"first_byte_ms", kInteger, "ms", 1, kMaxMs, "15000",
                "Longest wait for the first byte of a stream or a service's "
                "answer."},
    setting_row{"whole_answer_ms", kInteger, "ms", 1, kMaxMs, "120000",
                "Longest wait for the first byte of a completion that is not "
                "streamed, which comes when the completion is whole."},
    setting_row{"reused_first_byte_ms", kInteger, "ms", 1, kMaxMs, "3000",
                "Longest wait for the first byte on a connection that was "
                "idle before; it may have gone silent."},
    setting_row{"between_bytes_ms", kInteger, "ms", 1, kMaxMs, "10000",
                "Longest silence within an answer."},
    setting_row{"total_ms", kInteger, "ms", 1, kMaxMs, "600000",
                "Longest time of a whole request."},
    setting_row{"recheck_ms", kInteger, "ms", 10, 1000, "500",
                "Period of checks of key, freshness and caller while a request "
                "runs."},
    setting_row{"pool_idle_ms", kInteger, "ms", 0, 60000, "2000",
                "Idle connections older than this are not used again."},
    setting_row{"pool_per_server", kInteger, "connections", 0, 1024, "8",
                "Idle connections kept for each backend server."},
    setting_row{"freshness_limit_ms", kInteger, "ms", 100, kMaxMs, "5000",
                "Oldest proof on which requests are served."},
    setting_row{"pull_period_ms", kInteger, "ms", 10, 10000, "250",
                "Period of pulls from dogwood_controld."},
    setting_row{"limit_mode", kText, "", 0, 0, "\"demand_shares\"",
                "How hosts share a workspace's limit.",
                "demand_shares|central_bucket|static_split"},
    setting_row{"limit_wait_ms", kInteger, "ms", 0, 10000, "200",
                "Longest wait of a request for a grant."},
    setting_row{"owner_wait_ms", kInteger, "ms", 0, 60000, "3000",
                "Longest wait of a request while no host acts as owner of its "
                "limit, which after a change of owners takes about as long as "
                "a proof is old."},
    setting_row{"ask_period_ms", kInteger, "ms", 5, 10000, "100",
                "Period of asks for grants."},
    setting_row{"grant_life_ms", kInteger, "ms", 10, 60000, "500",
                "Granted tokens expire this long after they were asked for; "
                "the same on all hosts."},
    setting_row{"routing_policy", kText, "", 0, 0, "\"affinity\"",
                "Choice among backend servers.",
                "affinity|round_robin|least_connections"},
    setting_row{"affinity_slack", kInteger, "requests", 0, 10000, "4",
                "The server of the prompt's prefix is used while its load is "
                "at most this far above the least loaded server's."},
    setting_row{"prefix_bytes", kInteger, "bytes", 0, 1048576, "256",
                "Length of the prompt's prefix that decides the affinity."},
    setting_row{"back_off_ms", kInteger, "ms", 0, 60000, "500",
                "A server that could not be connected is avoided this long."},
    setting_row{"report_life_ms", kInteger, "ms", 1, 60000, "5000",
                "Load reports older than this are not used."},
    setting_row{"max_attempts", kInteger, "attempts", 1, 10, "3",
                "Most attempts of one request."},
    setting_row{"retry_share", kReal, "retries/request", 0, 1, "0.1",
                "Retries that each request adds to the budget."},
    setting_row{"retry_burst", kReal, "retries", 0, 10000, "10",
                "Most retries that the budget holds."},
    setting_row{"host_poll_ms", kInteger, "ms", 50, 60000, "1000",
                "Period of polls of the platform's host list."},
    setting_row{"load_poll_ms", kInteger, "ms", 50, 60000, "500",
                "Period of polls of the backend servers' load."},
    setting_row{"load_poll_servers", kInteger, "servers", 0, 10000, "32",
                "Most backend servers polled in one period."},
    setting_row{"batch_call_ms", kInteger, "ms", 1, kMaxMs, "10000",
                "Longest wait for one dogwood_batchd's answer."},
    setting_row{"address_keep_ms", kInteger, "ms", 0, kMaxMs, "10000",
                "How long callers may use an answer of /v1/addresses."},
    setting_row{"address_count", kInteger, "addresses", 1, 100, "6",
                "Addresses in an answer of /v1/addresses."},
    setting_row{"drain_limit_ms", kInteger, "ms", 0, kMaxMs, "600000",
                "Longest wait for active requests in a planned stop, after "
                "address_keep_ms."},
};

/** Mode of the name that `limit_mode` permits. */
auto LimitModeOf(std::string_view name) -> limit_mode {
  if (name == "central_bucket") {
    return limit_mode::kCentralBucket;
  }
  return name == "static_split" ? limit_mode::kStaticSplit
                                : limit_mode::kDemandShares;
}

/** Size of an integer setting. */
auto Size(const setting_values& values, std::string_view name) -> std::size_t {
  return static_cast<std::size_t>(values.Integer(name));
}

/** Sets what concerns callers' and servers' connections. */
auto ReadConnectionOptions(const setting_values& values, entry_options& o)
    -> void {
  o.limits.header_bytes = Size(values, "header_bytes");
  o.limits.body_bytes = Size(values, "body_bytes");
  o.limits.idle_ms = static_cast<unsigned>(values.Integer("caller_idle_ms"));
  o.answer_buffer_bytes = Size(values, "answer_buffer_bytes");
  o.connect = values.Milliseconds("connect_ms");
  o.first_byte = values.Milliseconds("first_byte_ms");
  o.whole_answer = values.Milliseconds("whole_answer_ms");
  o.reused_first_byte = values.Milliseconds("reused_first_byte_ms");
  o.between_bytes = values.Milliseconds("between_bytes_ms");
  o.total = values.Milliseconds("total_ms");
  o.recheck = values.Milliseconds("recheck_ms");
  o.pool_idle = values.Milliseconds("pool_idle_ms");
  o.pool_per_server = Size(values, "pool_per_server");
  o.address_keep = values.Milliseconds("address_keep_ms");
  o.address_count = Size(values, "address_count");
  o.drain_limit = values.Milliseconds("drain_limit_ms");
}

/** Sets what concerns limits, routing and retries. */
auto ReadPolicyOptions(const setting_values& values, entry_options& o) -> void {
  o.freshness_limit = values.Milliseconds("freshness_limit_ms");
  o.pull_interval = values.Milliseconds("pull_period_ms");
  o.mode = LimitModeOf(values.Text("limit_mode"));
  o.limit_wait = values.Milliseconds("limit_wait_ms");
  o.owner_wait = values.Milliseconds("owner_wait_ms");
  o.request_interval = values.Milliseconds("ask_period_ms");
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
  o.batch_call = values.Milliseconds("batch_call_ms");
}

/** The secret, from the settings or the file that they name. */
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
                     "setting \"secret\" is empty and \"secret_file\" "
                     "names no file with a secret",
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
