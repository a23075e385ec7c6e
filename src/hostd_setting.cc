#include "src/hostd_setting.h"

#include <array>
#include <utility>

#include "platform/adapter.h"
#include "src/net.h"

namespace dogwood {
namespace {

constexpr std::array kRows{
    setting_row{.name = "host",
                .kind = setting_kind::kText,
                .unit = "",
                .fallback = "",
                .doc = "Name of this host."},
    setting_row{.name = "data_centre",
                .kind = setting_kind::kText,
                .unit = "",
                .fallback = "",
                .doc = "Data centre of this host."},
    setting_row{.name = "region",
                .kind = setting_kind::kText,
                .unit = "",
                .fallback = "",
                .doc = "Region of this host."},
    setting_row{.name = "data_centres",
                .kind = setting_kind::kTextList,
                .unit = "data_centre=region",
                .fallback = "[]",
                .doc = "Every data centre with its region."},
    setting_row{.name = "contracts",
                .kind = setting_kind::kTextList,
                .unit = "",
                .fallback = "[]",
                .doc = "Parts of the platform's contract that are in force. "
                       "`places`: batch jobs are held only in the regions that "
                       "they are bound to. `pressure`: placement learns how "
                       "fast each server is. Others are ignored."},
    setting_row{.name = "front_address",
                .kind = setting_kind::kText,
                .unit = "ip:port",
                .fallback = "",
                .doc = "Address on which callers' requests are served."},
    setting_row{.name = "ready_address",
                .kind = setting_kind::kText,
                .unit = "ip:port",
                .fallback = "",
                .doc = "Address of the readiness check of the platform."},
    setting_row{
        .name = "directory_address",
        .kind = setting_kind::kText,
        .unit = "ip:port",
        .fallback = "",
        .doc =
            "Address of the directory that callers query for host addresses."},
    setting_row{.name = "link_address",
                .kind = setting_kind::kText,
                .unit = "ip:port",
                .fallback = "",
                .doc =
                    "Address on which links of other hosts are accepted; all "
                    "hosts use the same port."},
    setting_row{.name = "metrics_address",
                .kind = setting_kind::kText,
                .unit = "ip:port",
                .fallback = "",
                .doc = "Address on which metrics are served, as /metrics."},
    setting_row{.name = "store_address",
                .kind = setting_kind::kText,
                .unit = "ip:port",
                .fallback = "",
                .doc = "Address of the platform's store."},
    setting_row{
        .name = "peers",
        .kind = setting_kind::kTextList,
        .unit = "ip:port",
        .fallback = "[]",
        .doc = "Link addresses of some hosts, queried while the store does "
               "not answer."},
    setting_row{.name = "secret",
                .kind = setting_kind::kText,
                .unit = "",
                .fallback = "",
                .doc = "Shared secret of the links between hosts."},
    setting_row{.name = "log_levels",
                .kind = setting_kind::kText,
                .unit = "",
                .fallback = "\"info\"",
                .doc = "Level, or a list such as info,job=debug."},
    setting_row{.name = "processor_share",
                .kind = setting_kind::kReal,
                .unit = "cores",
                .min = 0.01,
                .max = 1024,
                .fallback = "1",
                .doc =
                    "Processor share of this host; the host with the largest "
                    "share becomes dispatcher."},
    setting_row{.name = "partitions_per_topic",
                .kind = setting_kind::kInteger,
                .unit = "",
                .min = 1,
                .max = 1024,
                .fallback = "12",
                .doc = "Partitions of each topic of the store."},
    setting_row{.name = "record_bytes",
                .kind = setting_kind::kInteger,
                .unit = "bytes",
                .min = 4096,
                .max = 67108864,
                .fallback = "262144",
                .doc = "Maximum size of a record that the store accepts."},
    setting_row{.name = "append_bytes",
                .kind = setting_kind::kInteger,
                .unit = "bytes",
                .min = 4096,
                .max = 67108864,
                .fallback = "2097152",
                .doc = "Maximum size of an append that the store accepts."},
    setting_row{.name = "member_life_ms",
                .kind = setting_kind::kInteger,
                .unit = "ms",
                .min = 1000,
                .max = 60000,
                .fallback = "2000",
                .doc =
                    "Lifetime of a membership; a host that has not renewed it "
                    "for this long is no longer a member."},
    setting_row{.name = "address_keep_s",
                .kind = setting_kind::kInteger,
                .unit = "s",
                .min = 1,
                .max = 3600,
                .fallback = "2",
                .doc = "Lifetime of an address list at callers."},
    setting_row{
        .name = "drain_limit_s",
        .kind = setting_kind::kReal,
        .unit = "s",
        .min = 1,
        .max = 3600,
        .fallback = "8",
        .doc = "Time from SIGTERM until the platform kills the process."},
    setting_row{.name = "result_keep_s",
                .kind = setting_kind::kReal,
                .unit = "s",
                .min = 1,
                .max = 86400,
                .fallback = "120",
                .doc = "Retention time of the results of batch jobs, from the "
                       "submission of the job on."},
};

/** Parses all settings that are addresses. */
auto ReadAddresses(const setting_values& values, hostd_options& options)
    -> outcome<void> {
  using endpoint = boost::asio::ip::tcp::endpoint;
  const std::array<std::pair<std::string_view, endpoint*>, 6> rows{
      std::pair{std::string_view("front_address"), &options.front},
      std::pair{std::string_view("ready_address"), &options.ready},
      std::pair{std::string_view("directory_address"), &options.directory},
      std::pair{std::string_view("link_address"), &options.link},
      std::pair{std::string_view("metrics_address"), &options.metrics},
      std::pair{std::string_view("store_address"), &options.store}};
  for (const auto& [name, target] : rows) {
    auto parsed = ParseEndpoint(values.Text(name));
    if (!parsed) {
      auto error = parsed.error();
      error.message = "setting \"" + std::string(name) + "\": " + error.message;
      return error;
    }
    *target = parsed.value();
  }
  return {};
}

/** Parses the list of data centres. */
auto ReadDataCentres(const setting_values& values, hostd_options& options)
    -> outcome<void> {
  for (const auto& entry : values.TextList("data_centres")) {
    const auto equals = entry.find('=');
    if (equals == std::string::npos) {
      return failure{.code = error_code::kBadRequest,
                     .message = "setting \"data_centres\": \"" + entry +
                                "\" is not of the form data_centre=region",
                     .ran = ran_state::kNo,
                     .step = "read settings",
                     .peer = ""};
    }
    options.data_centres[data_centre_id(entry.substr(0, equals))] =
        region_id(entry.substr(equals + 1));
  }
  return {};
}

}  // namespace

auto HostdSettings() -> setting_table {
  return kRows;
}

auto ReadHostdOptions(const setting_values& values) -> outcome<hostd_options> {
  using std::chrono::milliseconds;
  hostd_options options;
  options.host = host_id(values.Text("host"));
  options.data_centre = data_centre_id(values.Text("data_centre"));
  options.region = region_id(values.Text("region"));
  options.features = adapter::DecodeFeatures(values.TextList("contracts"));
  options.peers = values.TextList("peers");
  options.secret = values.Text("secret");
  options.log_levels = values.Text("log_levels");
  options.processor_share = values.Real("processor_share");
  options.partitions_per_topic =
      static_cast<std::uint32_t>(values.Integer("partitions_per_topic"));
  options.store_limits.record_bytes =
      static_cast<std::size_t>(values.Integer("record_bytes"));
  options.store_limits.append_bytes =
      static_cast<std::size_t>(values.Integer("append_bytes"));
  options.member_life = values.Milliseconds("member_life_ms");
  options.address_keep = milliseconds(1000 * values.Integer("address_keep_s"));
  options.drain_limit = milliseconds(
      static_cast<std::int64_t>(1000 * values.Real("drain_limit_s")));
  options.result_retention = milliseconds(
      static_cast<std::int64_t>(1000 * values.Real("result_keep_s")));
  auto addresses = ReadAddresses(values, options);
  if (!addresses) {
    return addresses.error();
  }
  auto data_centres = ReadDataCentres(values, options);
  if (!data_centres) {
    return data_centres.error();
  }
  return options;
}

}  // namespace dogwood
