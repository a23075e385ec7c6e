#include "src/batchd_setting.h"

#include <array>
#include <string_view>
#include <utility>

#include "src/http.h"

namespace dogwood {
namespace {

constexpr auto kText = setting_kind::kText;
constexpr auto kInteger = setting_kind::kInteger;
constexpr double kMaxMs = 86400000;

constexpr std::array kTable{
    setting_row{"host", kText, "", 0, 0, "", "Name of this host."},
    setting_row{"data_centre", kText, "", 0, 0, "",
                "Data centre of this host."},
    setting_row{"region", kText, "", 0, 0, "", "Region of this host."},
    setting_row{"batch_link", kText, "", 0, 0, "",
                "Address on which this daemon serves links, ip:port."},
    setting_row{"controld_link", kText, "", 0, 0, "",
                "Link address of this host's dogwood_controld, ip:port."},
    setting_row{"platform_address", kText, "", 0, 0, "",
                "Address of the platform's HTTP, ip:port."},
    setting_row{"batch_http_address", kText, "", 0, 0, "\"\"",
                "Address of /healthz, /readyz and /metrics, ip:port; none if "
                "empty."},
    setting_row{"secret", kText, "", 0, 0, "",
                "Shared secret of the deployment's links."},
    setting_row{"worker_threads", kInteger, "threads", 1, 64, "2",
                "Threads of the worker pool."},
    setting_row{"job_partitions", kInteger, "partitions", 1, 4096, "16",
                "Streams of batch jobs; the same on all hosts, for good."},
    setting_row{"batch_policy", kText, "", 0, 0, "\"headroom\"",
                "How batch shares servers with online requests.",
                "mixed|headroom|idle_only"},
    setting_row{"reserve_slots", kInteger, "slots", 0, 1024, "1",
                "Slots of each server that headroom keeps free."},
    setting_row{"batch_max_attempts", kInteger, "attempts", 1, 100, "5",
                "Failures after which an item ends as an error line."},
    setting_row{"retry_first_ms", kInteger, "ms", 1, kMaxMs, "500",
                "Delay of an item after its first failure; doubles."},
    setting_row{"retry_longest_ms", kInteger, "ms", 1, kMaxMs, "30000",
                "Longest delay of an item after failures."},
    setting_row{"result_keep_ms", kInteger, "ms", 1000, 2592000000.0,
                "86400000", "How long results stay after a job has ended."},
    setting_row{"rewrite_after_ms", kInteger, "ms", 1000, 2592000000.0,
                "3600000",
                "Age at which live jobs are written again; at most half the "
                "log's retention time."},
    setting_row{"rewrite_share", setting_kind::kReal, "", 0.01, 1, "0.25",
                "Share of an append that rewriting may take."},
    setting_row{"unsettled_bytes", kInteger, "bytes", 65536, 1073741824,
                "67108864",
                "Results of one partition that wait for the log in memory; "
                "beyond it nothing is sent to servers."},
    setting_row{"append_period_ms", kInteger, "ms", 1, 10000, "100",
                "Least time between two appends to one stream."},
    setting_row{"store_timeout_ms", kInteger, "ms", 50, 60000, "3000",
                "Longest wait for one answer of the platform."},
    setting_row{"submit_timeout_ms", kInteger, "ms", 100, 600000, "8000",
                "Longest wait until a submission or cancel is durable; below "
                "the entry daemon's batch_call_ms."},
    setting_row{"item_deadline_ms", kInteger, "ms", 100, kMaxMs, "600000",
                "Longest time of one attempt of an item."},
    setting_row{"silence_limit_ms", kInteger, "ms", 100, kMaxMs, "60000",
                "Longest silence of a server that runs an item."},
    setting_row{"freshness_limit_ms", kInteger, "ms", 100, kMaxMs, "5000",
                "Oldest proof on which this daemon acts as owner."},
    setting_row{"pull_period_ms", kInteger, "ms", 10, 10000, "250",
                "Period of pulls from dogwood_controld."},
    setting_row{"host_poll_ms", kInteger, "ms", 50, 60000, "1000",
                "Period of polls of the platform's host list."},
    setting_row{"load_poll_ms", kInteger, "ms", 50, 60000, "1000",
                "Period of polls of the load of servers admitted here."},
    setting_row{"online_life_ms", kInteger, "ms", 100, 60000, "5000",
                "Online counts of an entry host count this long after its "
                "report."},
    setting_row{"job_items", kInteger, "items", 1, 10000000, "310000",
                "Most items of one job."},
    setting_row{"line_bytes", kInteger, "bytes", 64, 131072, "131072",
                "Longest line of a submission."},
    setting_row{"body_bytes", kInteger, "bytes", 1024, 67108864, "33554432",
                "Longest submission."},
    setting_row{"stop_limit_ms", kInteger, "ms", 0, kMaxMs, "8000",
                "Longest wait for items and appends in a planned stop."},
    setting_row{"log_levels", kText, "", 0, 0, "\"info\"",
                "Level, and levels of categories, such as info,job=debug."},
};

/** Reads an address; fails naming the setting. */
auto Address(const setting_values& values, std::string_view name)
    -> outcome<boost::asio::ip::tcp::endpoint> {
  auto endpoint = ParseEndpoint(values.Text(name));
  if (!endpoint) {
    auto error = endpoint.error();
    error.message = std::string(name) + ": " + error.message;
    return error;
  }
  return endpoint;
}

/** The policy that the settings name. */
auto PolicyOf(const setting_values& values) -> any_admission_policy {
  const auto& name = values.Text("batch_policy");
  if (name == "mixed") {
    return mixed_policy();
  }
  if (name == "idle_only") {
    return idle_only_policy();
  }
  return headroom_policy{
      static_cast<unsigned>(values.Integer("reserve_slots"))};
}

/** Constants of partition owners. */
auto OwnerPolicyOf(const setting_values& values) -> owner_policy {
  owner_policy policy;
  policy.max_attempts =
      static_cast<unsigned>(values.Integer("batch_max_attempts"));
  policy.initial_backoff = values.Milliseconds("retry_first_ms");
  policy.max_backoff = values.Milliseconds("retry_longest_ms");
  policy.result_retention = values.Milliseconds("result_keep_ms");
  policy.rewrite_after = values.Milliseconds("rewrite_after_ms");
  policy.rewrite_share = values.Real("rewrite_share");
  policy.result_bytes =
      static_cast<std::size_t>(values.Integer("unsettled_bytes"));
  return policy;
}

/** Sizes and times. */
auto FillNumbers(const setting_values& values, batchd_settings& s) -> void {
  s.worker_threads = static_cast<unsigned>(values.Integer("worker_threads"));
  s.partitions = static_cast<std::uint32_t>(values.Integer("job_partitions"));
  s.limits.items = static_cast<std::size_t>(values.Integer("job_items"));
  s.limits.line_bytes = static_cast<std::size_t>(values.Integer("line_bytes"));
  s.body_bytes = static_cast<std::size_t>(values.Integer("body_bytes"));
  s.append_period = values.Milliseconds("append_period_ms");
  s.store_timeout = values.Milliseconds("store_timeout_ms");
  s.submit_timeout = values.Milliseconds("submit_timeout_ms");
  s.item_deadline = values.Milliseconds("item_deadline_ms");
  s.silence_limit = values.Milliseconds("silence_limit_ms");
  s.freshness_limit = values.Milliseconds("freshness_limit_ms");
  s.pull_interval = values.Milliseconds("pull_period_ms");
  s.host_poll_interval = values.Milliseconds("host_poll_ms");
  s.load_poll_interval = values.Milliseconds("load_poll_ms");
  s.online_life = values.Milliseconds("online_life_ms");
  s.stop_limit = values.Milliseconds("stop_limit_ms");
}

}  // namespace

auto BatchdSettingTable() -> setting_table {
  return kTable;
}

auto ToBatchdSettings(const setting_values& values)
    -> outcome<batchd_settings> {
  batchd_settings s;
  s.host = host_id(values.Text("host"));
  s.data_centre = data_centre_id(values.Text("data_centre"));
  s.region = region_id(values.Text("region"));
  s.secret = values.Text("secret");
  s.admission = PolicyOf(values);
  s.owner = OwnerPolicyOf(values);
  FillNumbers(values, s);
  auto link = Address(values, "batch_link");
  if (!link) {
    return link.error();
  }
  s.batch_link = link.value();
  auto controld = Address(values, "controld_link");
  if (!controld) {
    return controld.error();
  }
  s.controld_link = controld.value();
  auto platform = Address(values, "platform_address");
  if (!platform) {
    return platform.error();
  }
  s.platform = platform.value();
  if (!values.Text("batch_http_address").empty()) {
    auto http = Address(values, "batch_http_address");
    if (!http) {
      return http.error();
    }
    s.http = http.value();
  }
  return s;
}

}  // namespace dogwood
