#include "src/controld_setting.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

#include "src/freshness.h"
#include "src/http.h"

namespace dogwood {
namespace {

using tcp = boost::asio::ip::tcp;

constexpr auto kText = setting_kind::kText;
constexpr auto kInteger = setting_kind::kInteger;
constexpr std::size_t kHashDigits = 64;

constexpr std::array kTable{
    setting_row{"host", kText, "", 0, 0, "",
                "Name of this host, unique in the deployment."},
    setting_row{"data_centre", kText, "", 0, 0, "",
                "Data centre of this host."},
    setting_row{"region", kText, "", 0, 0, "", "Region of this host."},
    setting_row{"log_region", kText, "", 0, 0, "",
                "Region that has the platform's log; its first host is the "
                "root of the tree."},
    setting_row{"platform_address", kText, "", 0, 0, "",
                "Address ip:port of the platform."},
    setting_row{"operator_address", kText, "", 0, 0, "",
                "Address ip:port of the operator interface (HTTP)."},
    setting_row{"control_link", kText, "", 0, 0, "",
                "Address ip:port on which this daemon serves links."},
    setting_row{"entry_address", kText, "", 0, 0, "",
                "Address ip:port of this host's entryd for callers (HTTP)."},
    setting_row{"entry_link", kText, "", 0, 0, "",
                "Address ip:port of this host's entryd for links."},
    setting_row{"batch_link", kText, "", 0, 0, "",
                "Address ip:port of this host's batchd for links."},
    setting_row{"secret_file", kText, "", 0, 0, "\"\"",
                "File with the deployment's shared secret; used if `secret` "
                "is empty."},
    setting_row{"secret", kText, "", 0, 0, "\"\"",
                "The deployment's shared secret."},
    setting_row{"operator_tokens", setting_kind::kTextList, "", 0, 0, "[]",
                "Operators as name:hash, the hash being the SHA-256 of the "
                "operator's token as 64 hex digits."},
    setting_row{"freshness_limit_ms", kInteger, "ms", 500, 60000, "5000",
                "Oldest proof on which daemons serve; the same on all hosts."},
    setting_row{"pull_period_ms", kInteger, "ms", 20, 10000, "500",
                "Time between pulls from the parent."},
    setting_row{"pull_timeout_ms", kInteger, "ms", 1200, 10000, "2000",
                "Longest wait for the answer to a pull."},
    setting_row{"append_timeout_ms", kInteger, "ms", 50, 60000, "2000",
                "Longest wait for the answer to one append."},
    setting_row{"change_timeout_ms", kInteger, "ms", 100, 600000, "10000",
                "How long an operator's change is sent again before it is "
                "given up."},
    setting_row{"loss_after_ms", kInteger, "ms", 500, 600000, "10000",
                "How long a host must be found gone before it is declared "
                "lost; at least 1.11 times freshness_limit_ms is used."},
    setting_row{"drain_limit_ms", kInteger, "ms", 0, 3600000, "60000",
                "How long a planned stop waits for the local daemons."},
    setting_row{"snapshot_every_records", kInteger, "records", 10, 1000000,
                "1000", "Records after which a snapshot is appended."},
    setting_row{"snapshot_every_s", kInteger, "s", 1, 86400, "600",
                "Time after which a snapshot is appended; well below the "
                "log's retention time."},
    setting_row{"kept_records", kInteger, "records", 100, 1000000, "5000",
                "Records kept in memory for hosts that are behind."},
    setting_row{"worker_threads", kInteger, "", 1, 64, "1",
                "Threads of the worker pool."},
    setting_row{"log_levels", kText, "", 0, 0, "\"info\"",
                "Level of logs, such as \"info\" or \"info,member=debug\"."},
};

/** A failure that names a setting. */
auto BadSetting(std::string_view name, std::string_view why) -> failure {
  return {.code = error_code::kBadRequest,
          .message = std::string(name) + ": " + std::string(why),
          .step = "check settings",
          .peer = ""};
}

/** Reads the endpoint setting `name` into `to`. */
auto ReadEndpoint(const setting_values& values,
                  std::string_view name,
                  tcp::endpoint& to) -> outcome<void> {
  auto parsed = ParseEndpoint(values.Text(name));
  if (!parsed) {
    return BadSetting(name, parsed.error().message);
  }
  to = parsed.value();
  return {};
}

/** The shared secret, from the setting or its file without a final newline. */
auto ReadSecret(const setting_values& values) -> outcome<std::string> {
  if (!values.Text("secret").empty()) {
    return values.Text("secret");
  }
  const auto& path = values.Text("secret_file");
  if (path.empty()) {
    return BadSetting("secret", "neither secret nor secret_file is given");
  }
  std::ifstream file(path, std::ios::binary);
  std::string secret(std::istreambuf_iterator<char>(file), {});
  while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r')) {
    secret.pop_back();
  }
  if (secret.empty()) {
    return BadSetting("secret_file", "\"" + path + "\" is missing or empty");
  }
  return secret;
}

/** Reads one element of operator_tokens. */
auto ReadOperator(std::string_view text) -> outcome<operator_entry> {
  const auto colon = text.find(':');
  const auto hash =
      colon == std::string_view::npos ? "" : text.substr(colon + 1);
  const bool is_hex =
      hash.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (colon == 0 || hash.size() != kHashDigits || !is_hex) {
    return BadSetting("operator_tokens",
                      "an element is not name:hash with 64 lower-case hex "
                      "digits");
  }
  operator_entry entry;
  entry.name = text.substr(0, colon);
  entry.token_hash = hash;
  return entry;
}

/** The join record of this host, without its incarnation. */
auto ReadSelf(const setting_values& values) -> member {
  member self;
  self.host = host_id(values.Text("host"));
  self.data_centre = data_centre_id(values.Text("data_centre"));
  self.region = region_id(values.Text("region"));
  self.entry_address = values.Text("entry_address");
  self.operator_address = values.Text("operator_address");
  self.control_link = values.Text("control_link");
  self.entry_link = values.Text("entry_link");
  self.batch_link = values.Text("batch_link");
  return self;
}

/** Reads times and sizes. */
auto ReadNumbers(const setting_values& values, controld_settings& to) -> void {
  to.freshness_limit = values.Milliseconds("freshness_limit_ms");
  to.pull_interval = values.Milliseconds("pull_period_ms");
  to.pull_timeout = values.Milliseconds("pull_timeout_ms");
  to.append_timeout = values.Milliseconds("append_timeout_ms");
  to.change_timeout = values.Milliseconds("change_timeout_ms");
  const auto least = std::chrono::ceil<std::chrono::milliseconds>(
      WithDrift(to.freshness_limit));
  to.loss_after = std::max(values.Milliseconds("loss_after_ms"), least);
  to.drain_limit = values.Milliseconds("drain_limit_ms");
  to.snapshot_every = std::chrono::seconds(values.Integer("snapshot_every_s"));
  to.snapshot_every_records =
      static_cast<std::uint64_t>(values.Integer("snapshot_every_records"));
  to.kept_records = static_cast<std::size_t>(values.Integer("kept_records"));
  to.worker_threads = static_cast<unsigned>(values.Integer("worker_threads"));
}

}  // namespace

auto ControldSettingTable() -> setting_table {
  return kTable;
}

auto ToControldSettings(const setting_values& values)
    -> outcome<controld_settings> {
  controld_settings settings;
  settings.self = ReadSelf(values);
  settings.log_region = region_id(values.Text("log_region"));
  ReadNumbers(values, settings);
  for (const auto& [name, to] :
       {std::pair("platform_address", &settings.platform),
        std::pair("operator_address", &settings.operators),
        std::pair("control_link", &settings.control_link)}) {
    auto read = ReadEndpoint(values, name, *to);
    if (!read) {
      return read.error();
    }
  }
  auto secret = ReadSecret(values);
  if (!secret) {
    return secret.error();
  }
  settings.secret = std::move(secret.value());
  for (const auto& text : values.TextList("operator_tokens")) {
    auto entry = ReadOperator(text);
    if (!entry) {
      return entry.error();
    }
    settings.operator_entries.push_back(std::move(entry.value()));
  }
  return settings;
}

}  // namespace dogwood
