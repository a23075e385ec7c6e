/** Reloading of a host's settings while it runs. */
#ifndef SRC_HOSTD_RELOAD_H_
#define SRC_HOSTD_RELOAD_H_

#include <optional>
#include <string>

namespace dogwood {

struct host_state;

/** The settings file of a host. It may be read while it is being written, so a
 * change is told by its contents: time and size may be those of the half that
 * was read before. */
class settings_file {
 public:
  /** Reads the file for the first time. */
  explicit settings_file(std::string path);

  /** Reads the file and applies the settings that may change while the process
   * runs: peers, log levels, the lifetime of addresses and the time limit of a
   * drain. If the file is not valid, logs an error and changes nothing. */
  auto Reload(host_state& host) -> void;
  /** Reloads the file if its contents are not those read last. */
  auto ReloadIfChanged(host_state& host) -> void;

 private:
  /** Applies `text_`. */
  auto Apply(host_state& host) const -> void;

  std::string path_;
  std::optional<std::string> text_;  ///< As read last; unset: no file.
};

}  // namespace dogwood

#endif  // SRC_HOSTD_RELOAD_H_
