#include "src/hostd_reload.h"

#include <utility>

#include "src/core.h"
#include "src/hostd_base.h"
#include "src/hostd_setting.h"
#include "src/setting.h"

namespace dogwood {
namespace {

/** Logs that the settings at `path` were not taken, and why. */
auto LogRefusal(std::string reason, const std::string& path) -> void {
  Log(log_level::kError, log_category::kCore,
      {std::move(reason), "reload settings", path});
}

}  // namespace

settings_file::settings_file(std::string path)
    : path_(std::move(path)), text_(ReadFile(path_)) {}

auto settings_file::Reload(host_state& host) -> void {
  text_ = ReadFile(path_);
  Apply(host);
}

auto settings_file::ReloadIfChanged(host_state& host) -> void {
  auto text = ReadFile(path_);
  if (text != text_) {
    text_ = std::move(text);
    Apply(host);
  }
}

auto settings_file::Apply(host_state& host) const -> void {
  if (!text_) {
    LogRefusal("the file cannot be read", path_);
    return;
  }
  auto values =
      ToOutcome([&] { return ParseSettings(HostdSettings(), *text_, path_); });
  if (!values) {
    LogRefusal(values.error().message, path_);
    return;
  }
  auto options = ReadHostdOptions(values.value());
  if (!options) {
    LogRefusal(options.error().message, path_);
    return;
  }
  if (!SetLogLevels(options->log_levels)) {
    LogRefusal("setting \"log_levels\": \"" + options->log_levels +
                   "\" is not a list of levels",
               path_);
    return;
  }
  host.options.peers = options->peers;
  host.options.address_keep = options->address_keep;
  host.options.drain_limit = options->drain_limit;
  Log(log_level::kInfo, log_category::kCore,
      {"settings reloaded", "reload settings", path_});
}

}  // namespace dogwood
