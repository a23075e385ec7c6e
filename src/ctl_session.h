/** Client of the operator interface and the caller interface. */
#ifndef SRC_CTL_SESSION_H_
#define SRC_CTL_SESSION_H_

#include <boost/json/object.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/config_type.h"
#include "src/ctl_type.h"

namespace dogwood {

/** Sends the requests of one run of dogwoodctl. */
class ctl_session {
 public:
  /** `pause` waits before a change with an unknown outcome is retried. */
  ctl_session(ctl_globals globals,
              ctl_transport transport,
              std::function<void()> pause);

  /** Sends a GET request to the operator interface. */
  auto Get(const std::string& target) -> outcome<boost::json::object>;
  /** Sends a POST request to the operator interface. */
  auto Post(const std::string& target, const boost::json::object& body)
      -> outcome<boost::json::object>;
  /** Reads the node at `path`; an absent node has version 0. */
  auto Node(const std::string& path) -> outcome<boost::json::object>;
  /** Reads the node at `path`; fails with kNotFound if it is absent. */
  auto ExistingNode(const std::string& path) -> outcome<boost::json::object>;
  /** Applies a change, based on `version` or else on the node's current
   * version. An attempt with an unknown outcome is retried with the same
   * expected version, so that the change is applied at most once. If a retry
   * then conflicts and the node is already as the change makes it, the change
   * counts as applied. */
  auto Change(config_change change, const std::optional<std::string>& version)
      -> outcome<boost::json::object>;
  /** Sends one request to the caller interface at `address`, with the key in
   * `key_file`, and returns the body of the response. */
  auto CallerRequest(const std::string& address,
                     const std::string& key_file,
                     const std::string& method,
                     const std::string& target) -> outcome<std::string>;
  auto globals() const -> const ctl_globals& { return globals_; }

 private:
  /** Sends a request to each address in turn until one responds. */
  auto Send(http_request request) -> outcome<http_response>;
  /** Returns whether the node is already as `change` makes it. */
  auto IsApplied(const config_change& change) -> bool;

  ctl_globals globals_;
  ctl_transport transport_;
  std::function<void()> pause_;
  std::string token_;
};

/** Percent-encodes all but the unreserved characters of `text`. */
auto EncodeQuery(std::string_view text) -> std::string;

/** Returns the exit code for a failure. */
auto ExitCodeOf(const failure& error) -> ctl_exit;

}  // namespace dogwood

#endif  // SRC_CTL_SESSION_H_
