/** Calls of the operator interface and the caller interface. */
#ifndef SRC_CTL_SESSION_H_
#define SRC_CTL_SESSION_H_

#include <boost/json/object.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/config_type.h"
#include "src/ctl_type.h"

namespace dogwood {

/** Calls of one run of the tool. */
class ctl_session {
 public:
  /** `pause` waits between two tries of a change. */
  ctl_session(ctl_globals globals,
              ctl_transport transport,
              std::function<void()> pause);

  /** GET of the operator interface. */
  auto Get(const std::string& target) -> outcome<boost::json::object>;
  /** POST of the operator interface. */
  auto Post(const std::string& target, const boost::json::object& body)
      -> outcome<boost::json::object>;
  /** The node at `path`, version 0 if absent. */
  auto Node(const std::string& path) -> outcome<boost::json::object>;
  /** The node at `path`; kNotFound if absent. */
  auto ExistingNode(const std::string& path) -> outcome<boost::json::object>;
  /** Makes a change. The version it is based on is `given_version` or else
   * that which the node has now. A try whose outcome is unknown is repeated
   * with the same version, so that it takes effect once at most; if the node
   * then is as the change makes it, the change is taken as done. */
  auto Change(config_change change, const std::optional<std::string>& version)
      -> outcome<boost::json::object>;
  /** One request of the caller interface; the body of the answer. */
  auto CallerRequest(const std::string& address,
                     const std::string& key_file,
                     const std::string& method,
                     const std::string& target) -> outcome<std::string>;
  auto globals() const -> const ctl_globals& { return globals_; }

 private:
  /** Sends to one address after the other until one answers. */
  auto Send(http_request request) -> outcome<http_response>;
  /** Whether the node is as `change` makes it. */
  auto IsInForce(const config_change& change) -> bool;

  ctl_globals globals_;
  ctl_transport transport_;
  std::function<void()> pause_;
  std::string token_;
};

/** `text` with everything but unreserved characters percent-encoded. */
auto EncodeQuery(std::string_view text) -> std::string;

/** Exit code for a failure. */
auto ExitCodeOf(const failure& error) -> ctl_exit;

}  // namespace dogwood

#endif  // SRC_CTL_SESSION_H_
